"""
cyclamenshift.decisions.suspected_crashes
=========================================

Crashes of workers that are likely, but not proved.

A worker whose host refuses connections may have ended, or it is cut off and
works on.  Only another process, or the lasting absence of its registration,
proves that it has ended; its own report proves the contrary.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .crashes import Crashes, RunAge, count_crash


class SuspectedCrash(NamedTuple):
    """
    What a crash would tell of a task, whose run got to ``age``.

    ``alone`` is whether no other cause is likely.
    """

    age: RunAge
    alone: bool


def assume(crashes: Crashes, suspected: Iterable[SuspectedCrash]) -> Crashes:
    """Return *crashes* as they would be if the *suspected* ones are real."""
    for each in suspected:
        crashes = count_crash(each.age, crashes, alone=each.alone)
    return crashes
