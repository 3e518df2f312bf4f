"""``goldcrestmoor front``: run a daemon on the users' platform."""

import asyncio
import os
import sys

from goldcrestmoor import front_settings, logs, tracing
from goldcrestmoor.errors import UserError
from goldcrestmoor.process.front import FrontDaemon

SETTINGS_VARIABLE = "GOLDCRESTMOOR_SETTINGS"


def front(path=None):
    """Run a daemon on the users' platform until SIGTERM or SIGINT.

    :param path: the settings file, JSON; by default the path in the environment
        variable ``GOLDCRESTMOOR_SETTINGS``.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise UserError(
            f"No settings file given: pass a path or set {SETTINGS_VARIABLE}."
        )
    loaded = front_settings.load(path)
    logs.set_up(loaded.log.level, loaded.log.style, sys.stdout)
    tracing.set_up(loaded.host.id, loaded.tracing.exporter)
    asyncio.run(FrontDaemon(loaded, path).run())
