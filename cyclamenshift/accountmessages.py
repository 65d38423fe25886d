"""
cyclamenshift.accountmessages
=============================

The peer messages between the schedulers and the ledger of account limits.
"""

from typing import Final, NamedTuple

from .job import Resources
from .peer import register_payload

#: Stands for the version by which a scheduler got what it keeps.  A ledger
#: that does not know yet what all services have can't allot by its own one.
EARLIER_VERSION: Final = 0


class AccountUsage(NamedTuple):
    """
    What a scheduler has in use for an account, and asks for.

    ``used`` are the resources of all runs that it tracks.  Until it has the
    answer, it starts nothing that would bring them above ``kept``.  ``extra``
    is what it could use beyond that.  ``arrivals`` counts the jobs of the
    account that it got in the last second.
    """

    account: str
    used: Resources
    kept: Resources
    extra: Resources
    arrivals: int


@register_payload
class UsageReport(NamedTuple):
    """
    Reports the usage of a service under ``epoch``, and asks for allotments.

    Accounts that are not listed have nothing in use.  ``number`` grows with
    each report of a term.
    """

    service: str
    epoch: int
    number: int
    usages: tuple[AccountUsage, ...]


class AllottedAmount(NamedTuple):
    """
    How much a service may have in use for an account.

    ``elsewhere`` counts the jobs that the other services got in a second.
    """

    account: str
    amount: Resources
    elsewhere: int


@register_payload
class Allotment(NamedTuple):
    """
    Answers the report ``number``; ``epoch`` is that of the ledger.

    The amounts were computed by ``version`` of the configuration, which may be
    ``EARLIER_VERSION``.
    """

    epoch: int
    number: int
    version: int
    amounts: tuple[AllottedAmount, ...]
