"""
cyclamenshift.job
=================

The core types of jobs: steps of tasks, their runs and how these end.
"""

import enum
from typing import NamedTuple, TypeAlias


class JobState(enum.StrEnum):
    """Where a job stands; the last three are final."""

    queued = 'queued'
    running = 'running'
    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'

    @property
    def final(self) -> bool:
        """Whether the job will not change any more."""
        return self not in {JobState.queued, JobState.running}


class RunOutcome(enum.StrEnum):
    """How a run ended."""

    done = 'done'
    failed = 'failed'
    stopped = 'stopped'
    #: Its worker's lease ran out.
    lease_expired = 'lapsed'
    #: Another member of its gang ended.
    gang_broken = 'broken'
    #: The other members of its gang did not come in time.
    gang_incomplete = 'alone'


class Resources(NamedTuple):
    """
    What a task asks for, or a worker has.

    ``cpu`` is in thousandths of a core, ``memory`` in MB, ``gpu`` a count.
    """

    cpu: int
    memory: int
    gpu: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum."""
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.gpu + other.gpu,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference; a part may be below 0."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.gpu - other.gpu,
        )

    def can_fit(self, other: 'Resources') -> bool:
        """Return whether *other* fits."""
        return (
            self.cpu >= other.cpu
            and self.memory >= other.memory
            and self.gpu >= other.gpu
        )


#: Zero resources of every kind.
NO_RESOURCES = Resources(0, 0, 0)


class Step(NamedTuple):
    """
    Tasks of one kind within a job; ``tasks`` is how many.

    ``estimate`` is a task's likely run time, ms, and may be far off.
    ``after`` names the steps, by number, that must be done first.
    ``worker_limit`` is the most tasks on one worker, 0 for any number.
    ``latency_target`` bounds the tail of a long-running task's own answers,
    ms, 0 for none.  A ``best_effort`` step runs in what processor time the
    other tasks leave.  ``disruption_limit`` is how many tasks of a
    long-running step may be down at a time through planned work.
    """

    tasks: int
    resources: Resources
    estimate: int = 0
    dependencies: tuple[int, ...] = ()
    saves_checkpoints: bool = False
    gang: bool = False
    single_rack: bool = False
    required_label: str = ''
    preferred_rack: str = ''
    worker_limit: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    latency_target: int = 0
    best_effort: bool = False
    disruption_limit: int = 0


class Job(NamedTuple):
    """
    What a caller hands in, under an id of its own choice.

    ``occurrences`` is how many times the steps run, 0 for once without a
    due time.  ``first_due`` is in ms since the epoch, ``interval`` in ms.
    ``accepted`` is when the job was stored, ms since the epoch.
    """

    job_id: str
    queue: str
    spec: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due: int = 0
    interval: int = 0
    accepted: int = 0

    def same_as(self, other: 'Job') -> bool:
        """Return whether *other* is this job, handed in again."""
        return self._replace(accepted=0) == other._replace(accepted=0)


#: A step of one occurrence of a job.
StepId: TypeAlias = tuple[str, int, int]


class TaskId(NamedTuple):
    """One task of one occurrence of a job's step; each counts from 0."""

    job_id: str
    occurrence: int
    step: int
    ordinal: int

    @property
    def step_id(self) -> StepId:
        """The step of the occurrence that the task is of."""
        return (self.job_id, self.occurrence, self.step)


class RunId(NamedTuple):
    """One start of a task; the number rises with each start."""

    task: TaskId
    number: int


class RunStatus(NamedTuple):
    """
    A run that is at work.

    ``percent`` is how far it is; a long-running one serves at 100.
    ``usage`` is a rough figure of the last half second: for a task with a
    latency target the tail of its answers, ms, else thousandths of a core.
    """

    run: RunId
    checkpoint: str
    percent: int
    usage: int


class RunEnd(NamedTuple):
    """A run that ended; ``number`` counts the ends of one worker's life."""

    number: int
    run: RunId
    outcome: RunOutcome
    checkpoint: str
