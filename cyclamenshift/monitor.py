"""
cyclamenshift.monitor
=====================

Measures the delay of the event loop, and logs the load periodically.
"""

from collections import Counter
from typing import Final

from .clock import Clock
from .loadmetrics import LoadMetrics
from .logs import get_logger

#: How long the task sleeps that measures the delay of the event loop, ms.
PROBE_INTERVAL_MS: Final = 100
#: The time between two log lines, ms.
LOG_INTERVAL_MS: Final = 5_000


class Monitor:
    """The measuring task of a process."""

    def __init__(self, clock: Clock, load: LoadMetrics) -> None:
        """Measure into *load*."""
        self.clock = clock
        self.load = load
        self.log = get_logger('monitor')
        self.log_at = clock.now() + LOG_INTERVAL_MS
        self.logged_sent: Counter[str] = Counter()
        self.logged_received: Counter[str] = Counter()

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            await self._measure_delay()
            if self.clock.now() >= self.log_at:
                self.log_at = self.clock.now() + LOG_INTERVAL_MS
                self._log_load()

    async def _measure_delay(self) -> None:
        due = self.clock.now() + PROBE_INTERVAL_MS
        await self.clock.sleep(PROBE_INTERVAL_MS)
        late = max(0, self.clock.now() - due)
        self.load.loop_delay_ms.record(late)

    def _log_load(self) -> None:
        """Log the traffic since the previous line, if there was any."""
        sent = Counter(self.load.sent_bytes.totals)
        received = Counter(self.load.received_bytes.totals)
        worst_call = self.load.call_ms.take_worst()
        worst_wait = self.load.frame_wait_ms.take_worst()
        worst_delay = self.load.loop_delay_ms.take_worst()
        if sent != self.logged_sent:
            self.log.note(
                'Load.',
                sent=sent - self.logged_sent,
                received=received - self.logged_received,
                frame_wait_ms=worst_wait.elapsed,
                loop_delay_ms=worst_delay.elapsed,
                call_ms=worst_call.elapsed,
                slowest_call=worst_call.key,
                waiting=self.load.tasks_waiting.source(),
                orders=self.load.orders_in_flight.source(),
                owned=self.load.owned_epochs.source(),
            )
        self.logged_sent = sent
        self.logged_received = received
