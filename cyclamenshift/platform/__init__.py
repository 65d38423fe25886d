"""
cyclamenshift.platform
======================

The adapter to the users' platform: plug-ins that speak its protocols.

They translate the platform's messages, rows and settings to the core types
and back.  The platform's names are used in this package only.  A TypedDict
whose name ends in ``Body`` describes a JSON object of the platform; its keys
are the platform's.
"""
