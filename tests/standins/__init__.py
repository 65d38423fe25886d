"""
tests.standins
==============

Small programs and fakes that take the place of outside systems.
"""
