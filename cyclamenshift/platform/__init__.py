"""
cyclamenshift.platform
======================

The users' platform: its messages, translated to the package's own types.

Nothing outside this package knows the platform's names.
"""
