"""
cyclamenshift.decisions.overload.step_records
=============================================

How the runs of each recent step ended, and at which workers.

A failure tells of its worker only if the step does not fail elsewhere, and a
run time only if it is compared with those of the same step.
"""

from collections import Counter, OrderedDict
from typing import Final, NamedTuple

from ...job import StepId
from ..progress import Task, WorkerInstance

#: The most steps that are remembered: more than a service has at work.
MAX_STEPS: Final = 512


class RunTime(NamedTuple):
    """The run time of a task at a worker, ms."""

    instance: WorkerInstance
    elapsed: int


class StepRecord:
    """
    The ends of the runs of one step.

    ``done`` counts the tasks that are done, and ``failed`` the failed runs by
    worker.  ``times`` are the run times that were not compared yet, and
    ``typical`` is the median of the last ones that were, ms, 0 for none.
    """

    def __init__(self) -> None:
        """Start without any end."""
        self.done = 0
        self.failed: Counter[WorkerInstance] = Counter()
        self.times: list[RunTime] = []
        self.typical: float = 0


class StepRecords:
    """The records of the steps whose runs ended last."""

    def __init__(self) -> None:
        """Start without steps."""
        self.by_step: OrderedDict[StepId, StepRecord] = OrderedDict()

    def get(self, task: Task) -> StepRecord:
        """Return the record of the step of *task*, a new one if need be."""
        step_id = task.task_id.step_id
        record = self.by_step.get(step_id)
        if record is None:
            record = StepRecord()
            self.by_step[step_id] = record
            if len(self.by_step) > MAX_STEPS:
                self.by_step.popitem(last=False)
        self.by_step.move_to_end(step_id)
        return record
