"""
cyclamenshift.frontends
=======================

The HTTP servers for callers and for operators.
"""
