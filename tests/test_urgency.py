"""
tests.test_urgency
==================

The order in which waiting tasks are started.
"""

from unittest.mock import Mock

import pytest

from cyclamenshift.clock import Clock
from cyclamenshift.decisions import urgency
from cyclamenshift.decisions.progress import JobProgress, Task
from cyclamenshift.scheduling.order_window import OrderWindow

from .builders import WALL_START, job, queue, step

JOBS = 12
TASKS = 20


def waiting_tasks() -> list[Task]:
    """Return the tasks of several jobs, the least urgent ones first."""
    tasks: list[Task] = []
    for number in reversed(range(JOBS)):
        accepted = WALL_START + number % 4 * 1_000
        submitted = job(
            f'job-{number}',
            steps=(step(tasks=TASKS), step(tasks=2)),
            accepted=accepted,
        )
        progress = JobProgress(submitted, queue())
        tasks.extend(reversed(progress.open_ready_steps(0)))
    return tasks


def test_tasks_are_sorted_by_urgency_and_id() -> None:
    """Sorting by step gives the same order as sorting by task."""
    tasks = waiting_tasks()
    expected = sorted(
        tasks,
        key=lambda task: (
            urgency.urgency_of(task, WALL_START),
            task.task_id,
        ),
    )
    assert list(urgency.most_urgent_first(tasks, WALL_START)) == expected


def test_urgency_is_computed_for_each_waiting_task(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Passes over hundreds of waiting tasks took most of the processor."""
    urgency_of = Mock(wraps=urgency.urgency_of)
    monkeypatch.setattr(urgency, 'urgency_of', urgency_of)
    tasks = waiting_tasks()
    next(iter(urgency.most_urgent_first(tasks, WALL_START)))
    steps = {task.task_id.step_id for task in tasks}
    assert urgency_of.call_count == len(steps)


async def test_each_answered_order_starts_a_pass() -> None:
    """A pass looks at all waiting tasks, so it waits for some free slots."""
    window = OrderWindow(Clock(WALL_START))
    window.open('desk')
    limit = window.limit.current()
    for _order in range(limit):
        window.enter('desk')
    wake = Mock()
    window.wake_when_ready(wake)
    for _answer in range(limit // 4):
        wake.assert_not_called()
        window.leave('desk')
    wake.assert_called_once()
