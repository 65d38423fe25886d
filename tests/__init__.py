"""
tests
=====

The tests of cyclamenshift.
"""
