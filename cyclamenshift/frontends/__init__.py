"""
cyclamenshift.frontends
=======================

The HTTP front ends for callers and operators.
"""
