"""
cyclamenshift.endpoints
=======================

The plug-ins that connect to the workers, selected by name.
"""
