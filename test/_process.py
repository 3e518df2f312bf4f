"""One process of a test's fleet, with its log, signalled by its id only."""

import asyncio
import atexit
import json
import os
import pathlib
import signal
import subprocess
import sys
import weakref

from test import _common

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY = "ready "
STOP_TIMEOUT_S = 10
LOG_TAIL_CHARS = 3000

_running = weakref.WeakSet()


class Process:
    """A started process.

    :param name: its name in the fleet.
    :param arguments: what follows ``python -m``.
    :param directory: where its log goes.
    """

    __slots__ = ("name", "arguments", "log_path", "_popen", "__weakref__")

    def __init__(self, name, arguments, directory):
        self.name = name
        self.arguments = arguments
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        with open(self.log_path, "ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
                # A frozen process would be hung up when the shell that runs the
                # tests ends, as a member of a group that lost its parent.
                start_new_session=True,
            )
        _running.add(self)

    @property
    def pid(self):
        """The process's id."""
        return self._popen.pid

    def alive(self):
        """Tell whether it runs; a frozen process does."""
        return self._popen.poll() is None

    def log(self):
        """Return everything that it has printed."""
        return self.log_path.read_text(errors="replace")

    def log_tail(self):
        """Return the end of what it has printed."""
        return self.log()[-LOG_TAIL_CHARS:]

    def kill(self):
        """End it at once, also when it is frozen."""
        self._signal(signal.SIGKILL)

    def freeze(self):
        """Stop it without its noticing."""
        self._signal(signal.SIGSTOP)

    def thaw(self):
        """Let it go on after a freeze."""
        self._signal(signal.SIGCONT)

    def terminate(self):
        """Ask it to shut down gracefully."""
        self._signal(signal.SIGTERM)

    def reload(self):
        """Tell it that its settings have changed."""
        self._signal(signal.SIGHUP)

    async def wait(self, timeout_s=_common.EVENT_TIMEOUT_S):
        """Wait until it has ended.

        :return: its exit code.
        """
        await _common.eventually(lambda: not self.alive(), timeout_s)
        return self._popen.returncode

    async def ready_port(self):
        """Wait for the line ``ready PORT`` of a stand-in.

        :return: the port.
        """
        line = await _common.eventually(self._ready_line)
        return int(line.removeprefix(READY))

    def _ready_line(self):
        for line in self.log().splitlines():
            if line.startswith(READY):
                return line
        if not self.alive():
            raise AssertionError(f"{self.name} ended early:\n{self.log_tail()}")
        return None

    def _signal(self, number):
        if self.alive():
            self._popen.send_signal(number)


def stand_in(name, kind, options, directory):
    """Start a stand-in.

    :param name: its name in the fleet.
    :param kind: its module in ``test/standins``.
    :param options: its settings, with ``address`` and ``port``.
    :param directory: where its log goes.
    :return: the :class:`Process`.
    """
    arguments = [f"test.standins.{kind}", json.dumps(options)]
    return Process(name, arguments, directory)


async def stop_all(processes):
    """End processes and wait until they are gone.

    :param processes: the :class:`Process` objects.
    """
    for process in processes:
        process.kill()
    await asyncio.gather(*(process.wait(STOP_TIMEOUT_S) for process in processes))


@atexit.register
def _kill_leftovers():
    for process in list(_running):
        process.kill()
