"""
cyclamenshift.platform.accounts
===============================

Decodes client accounts, which the platform calls tenants, and their keys.
"""

from collections.abc import Iterable
from typing import Annotated, Final, NotRequired, TypedDict

from msgspec import Meta

from ..decisions.accounts.keys import digest_of, shared_keys
from ..directory import Account
from ..logs import get_logger
from .wire import ResourcesBody, Unreadable, decode_resources

#: The longest access key that a configuration may hold, characters: as much
#: as a header of the platform's callers may have.
MAX_KEY_LENGTH: Final = 8_192

#: A client account.
TenantBody = TypedDict(
    'TenantBody',
    {
        'name': Annotated[str, Meta(min_length=1)],
        # An account without keys is valid: its jobs run on.
        'apiKeys': NotRequired[list[Annotated[str, Meta(min_length=1)]]],
        'priority': NotRequired[Annotated[int, Meta(ge=0)]],
        # The jobs a second that the account is entitled to.
        'weight': NotRequired[Annotated[float, Meta(ge=0)]],
        # The resources of all running tasks; a count of 0 is no limit.
        'maxCount': ResourcesBody,
    },
)

log = get_logger('platform.accounts')


def decode_accounts(
    bodies: Iterable[TenantBody],
) -> dict[str, Account] | Unreadable:
    """Return the accounts by name; no key and no name may appear twice."""
    accounts: dict[str, Account] = {}
    for body in bodies:
        account = _decode_account(body)
        if account.name in accounts:
            return Unreadable(f'two accounts are called {account.name!r}')
        accounts[account.name] = account
        if any(len(key) > MAX_KEY_LENGTH for key in body.get('apiKeys', ())):
            return Unreadable(f'a key of {account.name!r} is too long')
    shared = shared_keys(accounts.values())
    if shared:
        return Unreadable('{!r} and {!r} have the same key'.format(*shared[0]))
    return accounts


def note_accounts_without_keys(accounts: Iterable[Account]) -> None:
    """Log the accounts for which nobody can submit a job."""
    names = [each.name for each in accounts if not each.key_digests]
    if names:
        log.warning('Accounts without access keys.', accounts=names)


def _decode_account(body: TenantBody) -> Account:
    return Account(
        name=body['name'],
        key_digests=tuple(map(digest_of, body.get('apiKeys', ()))),
        priority=body.get('priority', 0),
        weight=body.get('weight', 1),
        limit=decode_resources(body['maxCount']),
    )
