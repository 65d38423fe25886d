"""
cyclamenshift.commands
======================

The commands of the operators' command line.
"""
