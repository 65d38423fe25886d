"""
cyclamenshift.decisions.crashes
===============================

Tells tasks that crash their workers from those that merely ran beside them.

All that ran on a worker when it crashed is under suspicion.  A task that is
the likely cause, or was there at several crashes, runs alone for a while, so
that the next crash tells and hits nothing else.  One that then crashes its
worker right after its start is proved to do so.
"""

from functools import singledispatch
from typing import Final, NamedTuple, TypeAlias

#: The number of crashes in a row after which a task is given up.  Two may be
#: a coincidence where workers fail one after the other, unless the task was
#: alone at the second and had just started both times.
MAX_CRASHES: Final = 3
MIN_CRASHES: Final = 2
#: The number of crashes in a row after which a task is given up whatever is
#: known of the ages of its runs.  A task may be started twice more after three
#: workers have crashed under it.
MAX_UNCERTAIN_CRASHES: Final = 5
#: The age of a run up to which it is the likely cause of a crash, ms: much
#: longer than the answer to a start takes, and shorter than most tasks.
LIKELY_CAUSE_AGE_MS: Final = 200
#: The age of a run beyond which it is not the cause, ms: a task that crashes
#: each worker that starts it does so before.
MAX_CAUSE_AGE_MS: Final = 2_000
#: How much earlier or later in a run the same cause may take effect, ms.
AGE_TOLERANCE_MS: Final = 300
#: The time for which a worker must have been up before its crash is certain to
#: be the doing of a task that ran there alone, ms.  One that goes down again
#: and again by itself is up for a shorter time.
SETTLED_MS: Final = 5_000
#: The divisor of the number of workers: so many of them at a time may have a
#: run that may crash them, or be down after it.
POOL_DIVISOR: Final = 2


class KnownAge(NamedTuple):
    """The time since the start of a run was ordered, ms."""

    ms: int


class MinimumAge(NamedTuple):
    """
    The lower bound of an age that is not known, ms.

    It is the time for which the run was seen at work, 0 if it never was.
    """

    ms: int


RunAge: TypeAlias = KnownAge | MinimumAge


class Crashes(NamedTuple):
    """
    How many crashes ``in_a_row`` a task may have caused.

    ``age`` is the greatest age that its run certainly had at such a moment,
    ms.  ``alone`` tells whether it ran alone, on a worker that was settled,
    at the last crash at a known age.  ``uncertain`` is how many of the crashes
    came at an unknown age: they make the task suspicious, but don't tell
    whether it had just started.
    """

    in_a_row: int = 0
    age: int = 0
    alone: bool = False
    uncertain: int = 0

    @property
    def suspicious(self) -> bool:
        """Whether the next run of the task has to be alone at first."""
        likely = self.age <= LIKELY_CAUSE_AGE_MS
        return self.in_a_row > 1 or (likely and self.in_a_row == 1)

    @property
    def proved(self) -> bool:
        """Whether the task is to be given up."""
        certain = self.alone and self.age <= LIKELY_CAUSE_AGE_MS
        limit = MIN_CRASHES if certain else MAX_CRASHES
        known = self.in_a_row - self.uncertain
        return known >= limit or self.in_a_row >= MAX_UNCERTAIN_CRASHES

    def after(self, age: int, *, alone: bool) -> 'Crashes':
        """
        Return the crashes after another one, at the known *age* of the run, ms.

        A cause takes effect at about the same age of each run.  So a run
        that got older had not caused the earlier crashes, and one that got
        less old is at another one.
        """
        if age > MAX_CAUSE_AGE_MS:
            return Crashes()
        outlived = self.age > age + AGE_TOLERANCE_MS
        any_known = self.in_a_row > self.uncertain
        older = any_known and age > self.age + AGE_TOLERANCE_MS
        if outlived or older:
            return Crashes(1, age, alone)
        return Crashes(
            self.in_a_row + 1, max(self.age, age), alone, self.uncertain
        )

    def after_uncertain(self, at_least: int) -> 'Crashes':
        """
        Return the crashes after another one, at an age that is not known.

        The run was seen at work for *at_least* ms.
        """
        if at_least > MAX_CAUSE_AGE_MS:
            return Crashes()
        any_known = self.in_a_row > self.uncertain
        if any_known and at_least > self.age + AGE_TOLERANCE_MS:
            return Crashes(1, at_least, uncertain=1)
        return self._replace(
            in_a_row=self.in_a_row + 1,
            age=max(self.age, at_least),
            uncertain=self.uncertain + 1,
        )

    def on_probation(self, age: int) -> bool:
        """Return whether a run of *age* ms may still crash its worker."""
        return self.suspicious and age <= self.age + AGE_TOLERANCE_MS


@singledispatch
def count_crash(age: RunAge, crashes: Crashes, *, alone: bool) -> Crashes:
    """Return *crashes* after another one, at *age* of the run."""
    raise NotImplementedError(type(age).__qualname__)


@count_crash.register
def _count_known(age: KnownAge, crashes: Crashes, *, alone: bool) -> Crashes:
    return crashes.after(age.ms, alone=alone)


@count_crash.register
def _count_uncertain(
    age: MinimumAge, crashes: Crashes, *, alone: bool
) -> Crashes:
    return crashes.after_uncertain(age.ms)


def probation_limit(workers: int, on_probation: int) -> int:
    """Return how many more of *workers* may get a suspicious run."""
    return max(0, max(1, workers // POOL_DIVISOR) - on_probation)
