"""
cyclamenshift.controls
======================

The components that follow and change the state of the fleet.
"""
