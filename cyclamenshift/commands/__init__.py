"""
cyclamenshift.commands
======================

The operators' commands, found by name.
"""
