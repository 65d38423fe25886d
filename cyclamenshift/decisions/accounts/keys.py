"""
cyclamenshift.decisions.accounts.keys
=====================================

Finds the client account to which an access key belongs.
"""

import hashlib
import hmac
from collections.abc import Iterable

from ...directory import Account


def digest_of(key: str) -> bytes:
    """Return the digest of an access key, under which accounts keep it."""
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).digest()


def account_of(accounts: Iterable[Account], key: str) -> str | None:
    """
    Return the name of the account that has *key*, None if no account has it.

    All keys are compared, each in constant time, so that the response time
    tells nothing about the keys of the configuration.
    """
    digest = digest_of(key)
    owner: str | None = None
    for account in accounts:
        for known in account.key_digests:
            if hmac.compare_digest(known, digest):
                owner = account.name
    return owner


def shared_keys(accounts: Iterable[Account]) -> list[tuple[str, str]]:
    """Return the pairs of accounts that have the same key."""
    owners: dict[bytes, str] = {}
    pairs = []
    for account in accounts:
        for digest in account.key_digests:
            other = owners.setdefault(digest, account.name)
            if other != account.name:
                pairs.append((other, account.name))
    return pairs


def may_access(job_account: str, caller_account: str | None) -> bool:
    """
    Return whether a caller may read or cancel a job.

    *caller_account* is None for a caller of a queue with open access.  A job
    without an account was submitted while its queue had open access.
    """
    return caller_account is None or job_account in {'', caller_account}
