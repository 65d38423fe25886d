"""
cyclamenshift.peers
===================

The plug-ins that connect entry VMs to each other, selected by name.
"""
