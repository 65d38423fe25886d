"""
cyclamenshift.scheduling.service
================================

Schedules the jobs of one service while this entry VM owns it.
"""

from collections.abc import Iterable
from typing import Final

import trio

from ..component import Dump, Host
from ..decisions.placement import Bench, place
from ..decisions.progress import JobProgress, Life, Phase, Task
from ..directory import Directory, Queue
from ..duty import Tenure
from ..errors import ProtocolError
from ..job import NOTHING, Job, JobState
from ..jobrows import (
    CANCEL_TABLE,
    JOB_TABLE,
    PROGRESS_TABLE,
    JobRow,
    ProgressRow,
)
from ..rows import typed
from ..store import ABSENT, HistoryLost, Row, Snapshot, Unavailable
from .keeper import Keeper
from .orders import StartTask, stop, stop_stray
from .state import RETRY_MS, ServiceState
from .station import Station

#: How often the rows are looked at for jobs whose hint was lost, ms.
POLL_MS: Final = 1_000
#: How often the workers' registrations are compared, ms.
WORKERS_MS: Final = 200


class ServiceScheduler:
    """The tasks that schedule one service, under one tenure."""

    def __init__(self, kernel: Host, tenure: Tenure) -> None:
        """Start with nothing read."""
        self.state = ServiceState(kernel, tenure)
        self.book = self.state.book
        self.clock = kernel.clock
        self.directory = kernel.get(Directory)
        self.version = ABSENT
        self.loaded = False
        self.stopping: set[object] = set()

    async def run(self) -> None:
        """Read the rows, then schedule until cancelled."""
        await self._load()
        self.loaded = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.state.recorder.run)
            nursery.start_soon(self._follow_workers, nursery)
            nursery.start_soon(self._poll_jobs)
            while True:
                changed = self.state.changed
                self._open_due()
                self._place(nursery)
                self._stop_surplus(nursery)
                with self.clock.move_on_after(self._until_due()):
                    await changed.wait()

    def add(self, job: Job) -> None:
        """Take a job that was stored."""
        queue = self._queue(job.queue)
        if queue is None:
            return
        if self.book.add(job, queue, self.clock.wall()):
            self.state.wake()

    def cancel(self, job_id: str) -> None:
        """Take a cancel that was stored."""
        if self.book.cancel(job_id, self.clock.wall()):
            self.state.recorder.want()
            self.state.wake()

    def state_of(self, job_id: str) -> tuple[str, JobState | None]:
        """Return the queue of a job and its recorded state, None if unknown."""
        progress = self.book.jobs.get(job_id)
        if progress is None:
            return ('', None)
        return (progress.job.queue, progress.told_state)

    def waiting(self, queue: str) -> int:
        """Return how many jobs of *queue* have not begun."""
        return sum(
            1
            for progress in self.book.jobs.values()
            if progress.job.queue == queue
            and not progress.begun
            and not progress.state.final
        )

    def dump(self) -> Dump:
        """Return the jobs and workers in short."""
        return {
            'epoch': self.state.tenure.epoch,
            'jobs': len(self.book.jobs),
            'waiting_tasks': len(self.book.waiting),
            'commits': self.state.recorder.commits,
            'workers': {
                station.worker.worker_id: {
                    'runs': len(self.book.runs_at(life)),
                    'surveyed': station.surveyed,
                    'misses': station.misses,
                }
                for life, station in self.state.stations.items()
            },
        }

    async def _load(self) -> None:
        """Read every row of the service; try until the store gives them."""
        while True:
            try:
                if await self._read():
                    return
            except ProtocolError as error:
                self.state.log.error('%s', error)
            await self.clock.sleep(RETRY_MS)

    async def _read(self) -> bool:
        service = self.state.service
        store = self.state.store
        asked_at = self.clock.now()
        jobs = await store.scan(JOB_TABLE, service)
        progress = await store.scan(PROGRESS_TABLE, service)
        cancels = await store.scan(CANCEL_TABLE, service)
        if (
            isinstance(jobs, Unavailable)
            or isinstance(progress, Unavailable)
            or isinstance(cancels, Unavailable)
        ):
            return False
        self.state.tenure.confirm(asked_at)
        self.version = jobs.version
        recorded = {row.key.name: row for row in progress.rows}
        for row in jobs.rows:
            self._restore(row, recorded.get(row.key.name))
        for cancelled in cancels.rows:
            self.cancel(cancelled.key.name)
        self.state.log.info('Read %s jobs.', len(self.book.jobs))
        return True

    def _restore(self, row: Row, recorded: Row | None) -> None:
        job = typed(row, JobRow)['job']
        queue = self._queue(job.queue)
        if queue is None:
            return
        if recorded is None:
            self.book.add(job, queue, self.clock.wall())
            return
        self.book.restore(
            JobProgress(job, queue, recorded.version),
            typed(recorded, ProgressRow),
            self.clock.wall(),
            self.clock.now(),
        )

    def _queue(self, name: str) -> Queue | None:
        catalog = self.directory.catalog
        return catalog.queues.get(name) if catalog else None

    async def _poll_jobs(self) -> None:
        while True:
            await self.clock.sleep(POLL_MS)
            for table in (JOB_TABLE, CANCEL_TABLE):
                await self._poll(table)

    async def _poll(self, table: str) -> None:
        changes = await self.state.store.follow(table, self.version, 0)
        if isinstance(changes, Snapshot):
            self._take_rows(changes.rows)
        elif isinstance(changes, HistoryLost):
            scanned = await self.state.store.scan(table, self.state.service)
            if isinstance(scanned, Snapshot):
                self._take_rows(scanned.rows)

    def _take_rows(self, rows: Iterable[Row]) -> None:
        for row in rows:
            if row.key.part != self.state.service or not row.version:
                continue
            if row.key.table == CANCEL_TABLE:
                self.cancel(row.key.name)
            else:
                self.add(typed(row, JobRow)['job'])

    async def _follow_workers(self, nursery: trio.Nursery) -> None:
        while True:
            self._compare_workers(nursery)
            with self.clock.move_on_after(WORKERS_MS):
                await self.directory.changed()

    def _compare_workers(self, nursery: trio.Nursery) -> None:
        registered = {
            worker.life: worker
            for worker in self.directory.workers.values()
            if worker.service == self.state.service
        }
        for life, station in tuple(self.state.stations.items()):
            station.registered = life in registered
            if station.registered:
                station.worker = registered[life]
            else:
                self._part_with(station)
        for worker in registered.values():
            if worker.life not in self.state.stations:
                keeper = Keeper(self.state, self.state.station(worker))
                nursery.start_soon(keeper.keep)
        self.state.wake()

    def _part_with(self, station: Station) -> None:
        """Drop a worker that is not registered, once it runs nothing."""
        present = self.directory.workers.get(station.worker.worker_id)
        if present and present.born > station.worker.born:
            self.state.end_life(station, 'born again')
        if not self.state.has_runs(station):
            self.state.end_life(station, 'gone')
            self.state.stations.pop(station.worker.life)

    def _open_due(self) -> None:
        self.book.open_due(self.clock.wall())

    def _until_due(self) -> int:
        due = self.book.next_due()
        if due is None:
            return POLL_MS
        return max(1, min(POLL_MS, due - self.clock.wall()))

    def _place(self, nursery: trio.Nursery) -> None:
        if not self.book.waiting:
            return
        now = self.clock.now()
        benches = self._benches(now)
        for placement in place(self._urgent_first(), benches):
            task = placement.task
            attempt = self.book.plan(
                task,
                placement.life,
                task.last_run + 1,
                now,
            )
            station = self.state.stations[placement.life]
            start = StartTask(self.state, station, attempt)
            nursery.start_soon(start.run)

    def _benches(self, now: int) -> dict[Life, Bench]:
        return {
            life: Bench(
                station.worker,
                station.worker.room.minus(self.book.used.get(life, NOTHING)),
            )
            for life, station in self.state.stations.items()
            if station.usable(now)
        }

    def _urgent_first(self) -> list[Task]:
        return sorted(
            self.book.waiting.values(),
            key=lambda task: (task.job.queue.priority, task.job.job.accepted),
        )

    def _stop_surplus(self, nursery: trio.Nursery) -> None:
        for run, attempt in tuple(self.book.surplus.items()):
            self.book.surplus.pop(run)
            station = self.state.stations.get(attempt.life)
            if attempt.phase is Phase.planned:
                self.book.remove(attempt)
            elif station is not None:
                nursery.start_soon(stop, self.state, station, attempt)
        for station, run in self.state.take_strays():
            nursery.start_soon(stop_stray, self.state, station, run)
