"""
cyclamenshift.endpoints
=======================

The connections to the workers, found by name.
"""
