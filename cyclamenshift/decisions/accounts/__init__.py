"""
cyclamenshift.decisions.accounts
================================

Decisions about client accounts: their keys, limits and shares.
"""
