"""``goldcrestmoor serve``: run a daemon."""

import asyncio

from goldcrestmoor import logs, settings, tracing
from goldcrestmoor.process.daemon import Daemon


def serve(path):
    """Run a daemon until SIGTERM or SIGINT.

    :param path: the settings file, JSON.
    """
    loaded = settings.load(path)
    logs.set_up(loaded.log.level, loaded.log.style)
    tracing.set_up(loaded.host.id, loaded.tracing.exporter)
    asyncio.run(Daemon(loaded).run())
