"""
cyclamenshift.controls
======================

The components that track and change the shared state of the fleet.
"""
