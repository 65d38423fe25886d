"""
cyclamenshift.commands.accounts
===============================

The command that shows the client accounts.
"""

from collections.abc import Iterator
from typing import cast

from ..component import Dump
from ..plugin import register
from .jobs import DumpCommand

LINE = (
    '{name}: {running_millicores} of {limit} millicores running, '
    '{waiting_tasks} tasks wait, {in_time} jobs in time, {late} late, '
    '{failed} failed, {refused} refused, {served_percent}% served'
)


@register
class ShowAccounts(DumpCommand):
    """Shows what an entry VM knows of each client account."""

    name = 'accounts'
    help = 'show accounts: running against limit, waiting, served, refused'

    def select(self, dump: Dump) -> Dump:
        """Return the state of the accounts."""
        return cast(Dump, dump['accounts'])

    def format_lines(self, selected: Dump) -> Iterator[str]:
        """Yield one line for each account, the worst served first."""
        ranked = sorted(
            (fields['served_percent'], name, fields)
            for name, fields in selected.items()
        )
        for _served, name, fields in ranked:
            limit = fields['limit']['cpu'] or 'unlimited'
            yield LINE.format_map({**fields, 'name': name, 'limit': limit})
