"""
cyclamenshift.scheduling.demand
===============================

The forecast of a service's demand, which its reports to the manager carry.
"""

from typing import Final

from ..component import Host
from ..decisions.arrivals import Arrivals
from ..decisions.overload.bursts import BurstArrivals
from ..decisions.overload.demand_cycle import Change, DemandCycle, CycleEvent
from ..decisions.overload.run_times import RunTimeModel
from ..job import Job, Resources
from ..logs import StructuredLogger

#: The changes that are counted, besides being logged.
COUNTED: Final = frozenset((Change.came, Change.missed))
#: The log line of each change.
TEXTS: Final[dict[Change, str]] = {
    Change.learned: 'Demand cycle learned.',
    Change.forecast: 'Demand peak forecast.',
    Change.came: 'Forecast demand peak came.',
    Change.missed: 'Forecast demand peak missed.',
}


class DemandForecast:
    """
    The demand of arriving jobs, and of the next peak if that is switched on.
    """

    def __init__(
        self,
        kernel: Host,
        log: StructuredLogger,
        service: str,
        run_times: RunTimeModel | None,
    ) -> None:
        """Start without any job; *run_times* predicts run times."""
        self.clock = kernel.clock
        self.peaks_counted = kernel.metrics.load.overload.forecast_peaks
        self.log = log
        self.service = service
        is_learned = kernel.settings['overload']['demand_forecast']
        arrivals_type = BurstArrivals if is_learned else Arrivals
        self.arrivals = arrivals_type(run_times)
        self.cycle = DemandCycle(self.clock.now()) if is_learned else None

    def add(self, job: Job) -> None:
        """Count a job that arrives now."""
        now = self.clock.now()
        work = self.arrivals.add(job, now)
        if self.cycle:
            self.cycle.record(work, now)

    def expected(self) -> Resources:
        """Return the demand that is to be met besides that of known tasks."""
        now = self.clock.now()
        demand = self.arrivals.demand(now)
        if self.cycle is None:
            return demand
        forecast = self.cycle.forecast(now)
        for event in self.cycle.take_events():
            self._record(event)
        return Resources(*map(max, demand, forecast))

    def time_until_change(self, longest: int) -> int:
        """Return in what time the forecast changes by itself, ms."""
        if self.cycle is None:
            return longest
        change_in = self.cycle.time_until_change(self.clock.now())
        return longest if change_in is None else min(longest, change_in)

    def _record(self, event: CycleEvent) -> None:
        self.log.note(
            TEXTS[event.change],
            interval_ms=event.interval,
            onset_in_ms=event.onset - self.clock.now(),
        )
        if event.change in COUNTED:
            self.peaks_counted.inc(
                {'service': self.service, 'result': str(event.change)},
            )
