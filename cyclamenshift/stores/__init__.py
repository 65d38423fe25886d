"""
cyclamenshift.stores
====================

The plug-ins that connect to the store, selected by name.
"""
