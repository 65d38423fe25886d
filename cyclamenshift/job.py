"""
cyclamenshift.job
=================

The core types of jobs: steps, tasks, their runs and the outcomes of runs.
"""

import enum
from typing import NamedTuple, TypeAlias


class JobState(enum.StrEnum):
    """The state of a job; the last three states are final."""

    queued = 'queued'
    running = 'running'
    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'

    @property
    def final(self) -> bool:
        """Whether the job can't change its state any more."""
        return self is not JobState.queued and self is not JobState.running


class RunOutcome(enum.StrEnum):
    """The outcome of a run."""

    done = 'done'
    failed = 'failed'
    stopped = 'stopped'
    #: The lease of its worker expired.
    lease_expired = 'lapsed'
    #: Another member of its gang ended, which ends the whole gang.
    gang_broken = 'broken'
    #: The other members of its gang did not start in time.
    gang_incomplete = 'alone'


class Resources(NamedTuple):
    """
    The resources that a task requests or a worker provides.

    ``cpu`` is in millicores, ``memory`` in MB; ``gpu`` counts GPUs.
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
        """Return the difference; each resource may become negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.gpu - other.gpu,
        )

    def times(self, count: int) -> 'Resources':
        """Return the resources of *count* equal tasks."""
        return Resources(
            self.cpu * count, self.memory * count, self.gpu * count
        )

    def can_fit(self, other: 'Resources') -> bool:
        """Return whether *other* fits into these resources."""
        return (
            self.cpu >= other.cpu
            and self.memory >= other.memory
            and self.gpu >= other.gpu
        )


#: Zero resources of every kind.
NO_RESOURCES = Resources(0, 0, 0)


class Step(NamedTuple):
    """
    A number of equal tasks within a job; ``tasks`` counts them.

    ``estimate`` is the expected run time of a task, ms; it may be far off.
    ``dependencies`` holds the numbers of the steps that must be done first.
    ``worker_limit`` is the maximum number of tasks on one worker, 0 for no
    limit.  ``latency_target`` bounds the tail latency of the responses of a
    long-running task, ms, 0 for no target.  A ``best_effort`` step uses the
    CPU time that other tasks leave idle.  ``disruption_limit`` is the
    number of tasks of a long-running step that planned work may take down
    at the same time.
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
    A job as a caller submitted it; the caller chooses ``job_id``.

    ``occurrences`` is the number of times that the steps run; 0 means once,
    without a due time.  ``first_due`` is the due time of the first
    occurrence, ms since the epoch; ``interval`` is in ms.  ``accepted`` is
    the time at which the job was stored, ms since the epoch.  ``account`` is
    the client account that submitted it, empty if its queue has open access.
    """

    job_id: str
    queue: str
    spec: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due: int = 0
    interval: int = 0
    accepted: int = 0
    account: str = ''

    def same_as(self, other: 'Job') -> bool:
        """Return whether *other* is this job, submitted again."""
        return self._replace(accepted=0) == other._replace(accepted=0)


#: The id of a step of one occurrence: job id, occurrence, step number.
StepId: TypeAlias = tuple[str, int, int]


class TaskId(NamedTuple):
    """The id of a task; occurrence, step and ordinal count from 0."""

    job_id: str
    occurrence: int
    step: int
    ordinal: int

    @property
    def step_id(self) -> StepId:
        """The step that the task belongs to."""
        return (self.job_id, self.occurrence, self.step)


class RunId(NamedTuple):
    """The id of a run; ``number`` increases with each start of the task."""

    task: TaskId
    number: int


class RunStatus(NamedTuple):
    """
    The status of an active run.

    ``percent`` is its progress; a long-running task is ready at 100.
    ``usage`` is a rough measurement over the last half second: the tail
    latency in ms for a task with a latency target, else the CPU usage in
    millicores.
    """

    run: RunId
    checkpoint: str
    percent: int
    usage: int


class RunEnd(NamedTuple):
    """The end of a run; ``number`` counts the ends at a worker instance."""

    number: int
    run: RunId
    outcome: RunOutcome
    checkpoint: str
