"""
cyclamenshift.managing
======================

The fleet manager: moves VMs between pools and has them maintained.
"""
