"""
cyclamenshift.peers
===================

The streams between entry VMs, found by name.
"""
