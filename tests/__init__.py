"""
tests
=====

The tests of the package.
"""
