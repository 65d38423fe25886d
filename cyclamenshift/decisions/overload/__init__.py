"""
cyclamenshift.decisions.overload
================================

Decisions that matter most when there is more work than capacity.
"""
