"""
cyclamenshift.sources
=====================

The plug-ins that load the settings, selected by name.
"""
