"""
cyclamenshift.managing
======================

The tasks with which the manager of the fleet moves and maintains VMs.
"""
