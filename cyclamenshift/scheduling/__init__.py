"""
cyclamenshift.scheduling
========================

The scheduler of one service: workers, runs and job rows.
"""
