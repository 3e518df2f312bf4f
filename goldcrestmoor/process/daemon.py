"""The daemon: its parts, in the order in which they start and stop."""

import asyncio
import logging
import signal

from goldcrestmoor.clock import Clock

log = logging.getLogger("goldcrestmoor.daemon")


class Daemon:
    """One host's process.

    :param settings: the host's :class:`~goldcrestmoor.settings.Settings`.
    """

    __slots__ = ("settings", "clock", "_stop")

    def __init__(self, settings):
        self.settings = settings
        self.clock = Clock()
        self._stop = asyncio.Event()

    async def run(self):
        """Serve until told to stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        log.info("Started as %s.", self.settings.host.id)
        await self._stop.wait()
        log.info("Stopped.")
