"""
tests.test_races
================

Schedulers that race: a state machine of faults over whole entry VMs.

Its rules write a script, which is then played on virtual time.  While it is
played no task may run twice at the same time, nor after its recorded end;
afterwards every accepted job is done.  The tasks of every other job may have
copies.
"""

import os
from functools import singledispatch
from typing import Any, NamedTuple

import trio
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, rule
from trio.testing import MockClock

from cyclamenshift.controls.job_access import Stored
from cyclamenshift.job import Job, JobState

from .builders import job, step
from .standins.jobs import WAIT_MS, JobCluster

#: Fixed examples in CI; RACE_EXAMPLES=1000 gives the longer run.
EXAMPLES = int(os.environ.get('RACE_EXAMPLES', '25'))
STEPS = 14
ENTRIES = 3
#: How often the workers are looked at, and how long all jobs may take, s.
LOOK_S = 0.02
LONGEST_S = 300

pauses = strategies.integers(0, 2_500)
counts = strategies.integers(1, 4)


class Submit(NamedTuple):
    """A caller hands a job in."""


class KillOwner(NamedTuple):
    """The owner of the service dies."""


class StopOwner(NamedTuple):
    """The owner of the service is told to stop."""


class Restart(NamedTuple):
    """Whatever died comes back."""


class CutOwnerFromStore(NamedTuple):
    """The store turns the owner away."""


class LoseStore(NamedTuple):
    """Nobody reaches the store for a while, ms."""

    length: int


class LoseStoreAnswers(NamedTuple):
    """Transactions take effect and are not answered."""

    number: int


class LoseOrderAnswers(NamedTuple):
    """Workers carry orders out and do not answer."""

    number: int


class DelayOrders(NamedTuple):
    """Workers carry orders to start out late, ms."""

    late: int


class SilenceWorker(NamedTuple):
    """A worker works on, and nobody reaches it."""


class CrashWorker(NamedTuple):
    """A worker dies; another VM comes."""


class Heal(NamedTuple):
    """The store and the workers are well again."""


class Play:
    """A script being played: the cluster, and what was accepted."""

    def __init__(self, cluster: JobCluster) -> None:
        """Start with nothing accepted, and nobody dead."""
        self.cluster = cluster
        self.accepted: list[Job] = []
        self.submitted = 0
        self.dead: list[str] = []
        self.faults: list[str] = []

    def owner(self) -> str | None:
        """Return who schedules the service, if anybody does."""
        owners = [
            entry_id
            for entry_id, entry in self.cluster.entries.items()
            if 'desk' in entry.scheduler.schedulers
        ]
        return owners[0] if owners else None

    def workers(self) -> list[str]:
        """Return the workers of the service."""
        registered = self.cluster.platform.workers.values()
        return sorted(
            each.worker_id for each in registered if each.service == 'desk'
        )

    async def watch(self) -> None:
        """Look for faults at the workers until cancelled."""
        while not self.faults:
            self.cluster.workers.advance()
            self.faults = self.cluster.workers.find_violations()
            await trio.sleep(LOOK_S)


@singledispatch
async def act(event: Any, play: Play) -> None:
    """Bring an event of the script about."""
    raise NotImplementedError(type(event).__qualname__)


@act.register
async def _submit(event: Submit, play: Play) -> None:
    play.submitted += 1
    name = f'job-{play.submitted}'
    copied = play.submitted % 2 == 0
    first = step(tasks=3, speculative=copied)
    later = step(tasks=2, dependencies=(0,), speculative=copied)
    handed_in = job(name, steps=(first, later))
    play.cluster.register_steps(handed_in)
    for entry in tuple(play.cluster.entries.values())[:1]:
        queue = play.cluster.queue_of(handed_in)
        result = await entry.job_access.submit(queue, handed_in, WAIT_MS)
        if isinstance(result, Stored):
            play.accepted.append(handed_in)


@act.register
async def _kill_owner(event: KillOwner, play: Play) -> None:
    owner = play.owner()
    if owner and len(play.cluster.entries) > 1:
        play.cluster.kill(owner)
        play.dead.append(owner)


@act.register
async def _stop_owner(event: StopOwner, play: Play) -> None:
    owner = play.owner()
    if owner and len(play.cluster.entries) > 1:
        play.cluster.entries.pop(owner).kernel.stop()


@act.register
async def _restart(event: Restart, play: Play) -> None:
    while play.dead:
        await play.cluster.start(play.dead.pop())


@act.register
async def _cut_owner(event: CutOwnerFromStore, play: Play) -> None:
    owner = play.owner()
    if owner:
        play.cluster.store.cut_off.add(owner)


@act.register
async def _lose_store(event: LoseStore, play: Play) -> None:
    play.cluster.store.down = True
    await trio.sleep(event.length / 1000)
    play.cluster.store.down = False


@act.register
async def _lose_store_answers(event: LoseStoreAnswers, play: Play) -> None:
    play.cluster.store.lose_answers += event.number


@act.register
async def _lose_order_answers(event: LoseOrderAnswers, play: Play) -> None:
    play.cluster.workers.lose_answers += event.number


@act.register
async def _delay_orders(event: DelayOrders, play: Play) -> None:
    play.cluster.workers.late_order_delays.append(event.late)


@act.register
async def _silence_worker(event: SilenceWorker, play: Play) -> None:
    for worker_id in play.workers()[:1]:
        play.cluster.workers.current_instance(
            worker_id
        ).unreachable_from = set()


@act.register
async def _crash_worker(event: CrashWorker, play: Play) -> None:
    for worker_id in play.workers()[-1:]:
        play.cluster.workers.crash(worker_id)
        play.cluster.platform.workers.pop(worker_id)
        play.cluster.add_vm(f'new-vm-{play.cluster.workers_started}', 'desk')


@act.register
async def _heal(event: Heal, play: Play) -> None:
    play.cluster.store.cut_off.clear()
    play.cluster.store.lose_answers = 0
    play.cluster.workers.lose_answers = 0
    for sim in play.cluster.workers.instances.values():
        sim.unreachable_from = None


async def play_script(script: tuple[tuple[int, Any], ...]) -> None:
    """Play *script*, heal everything, and let every accepted job end."""
    async with trio.open_nursery() as nursery:
        play = Play(JobCluster(nursery))
        play.cluster.add_workers('desk', 3)
        await play.cluster.start_all(ENTRIES)
        nursery.start_soon(play.watch)
        for pause, event in script:
            await trio.sleep(pause / 1000)
            await act(event, play)
        await act(Heal(), play)
        await act(Restart(), play)
        with trio.move_on_after(LONGEST_S):
            await play.cluster.wait_for_state(
                JobState.completed, *play.accepted
            )
            play.accepted.clear()
        nursery.cancel_scope.cancel()
    assert not play.faults
    assert not play.accepted


class RacingSchedulers(RuleBasedStateMachine):
    """Each rule adds an event to the script, some time after the last."""

    def __init__(self) -> None:
        """Start with one job."""
        super().__init__()
        self.script: list[tuple[int, Any]] = [(0, Submit())]

    @rule(pause=pauses)
    def submit(self, pause: int) -> None:
        """Hand a job in."""
        self.script.append((pause, Submit()))

    @rule(
        pause=pauses,
        event=strategies.sampled_from(
            (KillOwner(), StopOwner(), Restart(), CutOwnerFromStore()),
        ),
    )
    def disturb_entries(self, pause: int, event: Any) -> None:
        """Take an entry VM away, or bring one back."""
        self.script.append((pause, event))

    @rule(pause=pauses, length=strategies.integers(100, 6_000))
    def lose_store(self, pause: int, length: int) -> None:
        """Take the store away from all."""
        self.script.append((pause, LoseStore(length)))

    @rule(
        pause=pauses,
        event=strategies.one_of(
            strategies.builds(LoseStoreAnswers, counts),
            strategies.builds(LoseOrderAnswers, counts),
            strategies.builds(DelayOrders, strategies.integers(100, 4_000)),
        ),
    )
    def lose_answers(self, pause: int, event: Any) -> None:
        """Let answers get lost, or orders come late."""
        self.script.append((pause, event))

    @rule(
        pause=pauses,
        event=strategies.sampled_from((SilenceWorker(), CrashWorker(), Heal())),
    )
    def disturb_workers(self, pause: int, event: Any) -> None:
        """Silence a worker, replace one, or heal all."""
        self.script.append((pause, event))

    def teardown(self) -> None:
        """Play what was written."""
        trio.run(
            play_script,
            tuple(self.script),
            clock=MockClock(autojump_threshold=0),
        )


RacingSchedulers.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=True,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
)
TestRacingSchedulers = RacingSchedulers.TestCase
