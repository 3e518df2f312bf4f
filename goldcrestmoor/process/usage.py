"""The parts of the usage reports of one host, wired together."""

import asyncio

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.process import usage_counts
from goldcrestmoor.process.true_time import TrueTime
from goldcrestmoor.process.usage_counts import UsageCollector, UsageSender
from goldcrestmoor.process.usage_reports import UsageReports
from goldcrestmoor.process.usage_windows import UsageWindows
from goldcrestmoor.request.usage_counter import UsageCounter


class Usage:
    """Counts, collects and reports usage.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param settings: the :class:`~goldcrestmoor.front_settings.UsageSettings`.
    :param duty: the :class:`~goldcrestmoor.process.exclusive_duty.ExclusiveDuty`.
    :param api: has the call ``report_usage``.
    :param store: has the calls ``scan`` and ``transact``.
    :param calls: the :class:`~goldcrestmoor.process.host_calls.HostCalls`.
    :param host_id: this host.
    :param process_id: identifies this process.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :ivar counter: the :class:`~goldcrestmoor.request.usage_counter.UsageCounter`.
    """

    __slots__ = ("counter", "_collector", "_sender", "_reports")

    def __init__(
        self, *, clock, settings, duty, api, store, calls, host_id, process_id, metrics
    ):
        window_ms = settings.window_s * MS_PER_SECOND
        due_ms = settings.due_s * MS_PER_SECOND
        kept_ms = usage_counts.kept_ms(window_ms, due_ms)

        def delay_ms():
            return usage_counts.commit_delay_ms(len(calls.zone_by_host()), due_ms)

        time = TrueTime(clock.now_ms(), clock.wall_ms())
        windows = UsageWindows(window_ms=window_ms, due_ms=due_ms)
        self.counter = UsageCounter(clock=clock, window_ms=window_ms, kept_ms=kept_ms)
        self._collector = UsageCollector(
            clock=clock,
            duty=duty,
            host_id=host_id,
            time=time,
            windows=windows,
            delay_ms=delay_ms,
            kept_ms=kept_ms,
        )
        self._sender = UsageSender(
            clock=clock,
            duty=duty,
            calls=calls,
            counter=self.counter,
            collector=self._collector,
            time=time,
            host_id=host_id,
            process_id=process_id,
            metrics=metrics,
        )
        self._reports = UsageReports(
            clock=clock,
            duty=duty,
            api=api,
            store=store,
            collector=self._collector,
            windows=windows,
            time=time,
            delay_ms=delay_ms,
            metrics=metrics,
        )

    def receive(self, message):
        """Reply to another host's :class:`~.usage_counts.UsageCounts`."""
        return self._collector.receive(message)

    async def run(self):
        """Send this host's counts, and report windows at the holder of the duty."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._sender.run())
            tasks.create_task(self._reports.run())

    async def flush(self):
        """Send the last counts, as this host is leaving."""
        await self._sender.flush()
