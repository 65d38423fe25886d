"""
cyclamenshift.platforms
=======================

The clients of the platform, found by name.
"""
