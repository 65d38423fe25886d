"""
cyclamenshift.ownerrows
=======================

The rows of the owners of domains, and their keys.

The partition of a row is its domain, that is a service or the fleet.
"""

from typing import Final, TypedDict

from .store import Key

#: The owner of each domain.
OWNER_TABLE: Final = 'owner'
#: The rows of a domain in it.
HOLDER_NAME: Final = 'holder'
CHALLENGE_NAME: Final = 'challenge'
ANSWER_NAME: Final = 'answer'


class OwnerRow(TypedDict):
    """
    ``owner/DOMAIN/holder``: the entry VM that owns a domain.

    ``epoch`` increases with each new holder.  A domain is a service, or a
    duty that exists once, such as managing the fleet.
    """

    holder: str
    incarnation: str
    epoch: int


class ChallengeRow(TypedDict):
    """
    ``owner/DOMAIN/challenge``: asks the holder whether it is alive.

    Its version identifies the challenge.
    """

    epoch: int


class AnswerRow(TypedDict):
    """
    ``owner/DOMAIN/answer``: the holder of ``epoch`` is alive.

    ``challenge`` is the version of the latest challenge that it has seen.
    """

    epoch: int
    challenge: int


def owner_key(domain: str) -> Key:
    """Return the key of the owner row of a domain."""
    return Key(OWNER_TABLE, HOLDER_NAME, domain)


def challenge_key(domain: str) -> Key:
    """Return the key of the challenge to the holder of a domain."""
    return Key(OWNER_TABLE, CHALLENGE_NAME, domain)


def answer_key(domain: str) -> Key:
    """Return the key of the answer to a challenge."""
    return Key(OWNER_TABLE, ANSWER_NAME, domain)
