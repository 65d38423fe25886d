"""
bench
=====

Benchmarks.  Each module prints its results when run with ``python -m``.
"""
