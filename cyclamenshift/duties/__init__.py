"""
cyclamenshift.duties
====================

The duties: work that one entry VM at a time does, registered by name.
"""
