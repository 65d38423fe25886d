"""
cyclamenshift.scheduling
========================

The tasks with which a scheduler looks after its workers and its rows.
"""
