"""The record of a case: what was sent, answered and run."""

import pathlib
import time
from typing import Any, Final, TextIO

#: How many lines about the runs of one job are written.
JOB_LINES: Final = 300


class Record:
    """Writes ``record.txt`` and remembers the runs of each task."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file: TextIO = path.open('w', encoding='utf-8')
        self.started = time.monotonic()
        self.running: dict[str, dict[tuple[str, int], float]] = {}
        self.done: dict[str, list[tuple[float, str, int]]] = {}
        self.starts: dict[str, list[tuple[float, str, int]]] = {}
        self.failed: dict[str, int] = {}
        self.ended_at: dict[tuple[str, str, int], float] = {}
        self.seen: set[tuple[str, str, int]] = set()
        self.acknowledged: set[tuple[str, str, int]] = set()
        self.lines: dict[str, int] = {}
        self.overlaps: list[str] = []

    def now(self) -> float:
        """Return the time since the case began, s."""
        return round(time.monotonic() - self.started, 3)

    def note(self, text: str, **fields: Any) -> None:
        """Write one line."""
        details = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.file.write(f'{self.now():8.3f} {text} {details}\n')
        self.file.flush()

    def run_start(self, worker: str, task: str, run: int, fence: int) -> None:
        """Note that a worker begins a run."""
        others = self.running.setdefault(task, {})
        self._note_run('start', task, worker=worker, run=run, fence=fence)
        if others:
            text = f'{task}: run {run} at {worker} beside {sorted(others)}'
            self.overlaps.append(text)
            self.note('TWO RUNS AT ONCE', task=task, others=sorted(others))
        others[worker, run] = self.now()
        self.starts.setdefault(task, []).append((self.now(), worker, run))

    def run_end(self, worker: str, task: str, run: int, how: str) -> None:
        """Note that a run has ended."""
        self.running.get(task, {}).pop((worker, run), None)
        self._note_run('end', task, worker=worker, run=run, how=how)
        self.ended_at[worker, task, run] = self.now()
        if how == 'done':
            self.done.setdefault(task, []).append((self.now(), worker, run))
        if how == 'failed':
            self.failed[task] = self.failed.get(task, 0) + 1

    def run_acknowledged(
        self, worker: str, task: str, run: int, how: str, lapsed_at: float
    ) -> None:
        """
        Note that the system has taken note of an end.

        Where the lease of the worker lapsed since the end, it does not count
        as taken note of.
        """
        key = (worker, task, run)
        if key in self.seen:
            return
        self.seen.add(key)
        lapsed = lapsed_at > self.ended_at[key]
        if not lapsed:
            self.acknowledged.add(key)
        self._note_run(
            'end seen', task, worker=worker, run=run, how=how, lapsed=lapsed
        )

    def started_after_done(self) -> list[str]:
        """Return the starts after an end ``done`` that was taken note of."""
        found = []
        for task, ends in self.done.items():
            for ended, worker, run in ends:
                if (worker, task, run) not in self.acknowledged:
                    continue
                found.extend(
                    f'{task}: run {again} at {other} starts at {at} s, '
                    f'after run {run} at {worker} ended done at {ended} s'
                    for at, other, again in self.starts[task]
                    if at > ended
                )
        return found

    def _note_run(self, text: str, task: str, **fields: Any) -> None:
        """Write a line about a run; of each job only the first ones."""
        job = task.split('.')[0]
        self.lines[job] = self.lines.get(job, 0) + 1
        if self.lines[job] <= JOB_LINES:
            self.note(text, task=task, **fields)
        elif self.lines[job] == JOB_LINES + 1:
            self.note('further runs of this job are only counted', job=job)
