"""
cyclamenshift.duties
====================

What one entry VM at a time does for all, found by name.
"""
