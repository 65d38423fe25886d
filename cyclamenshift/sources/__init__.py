"""
cyclamenshift.sources
=====================

Where a process gets its settings from, found by name.
"""
