"""
bench
=====

Measurements: each module prints its table when run with ``python -m``.
"""
