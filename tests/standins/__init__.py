"""
tests.standins
==============

Fakes and small programs that replace external systems in tests.
"""
