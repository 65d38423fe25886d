"""
cyclamenshift.stores
=======================

The clients of the platform, found by name.
"""
