"""
cyclamenshift.decisions
=======================

The decision logic of the system, without I/O or message encoding.
"""
