"""
cyclamenshift.decisions
=======================

The choices of the system, free of I/O and of any message encoding.
"""
