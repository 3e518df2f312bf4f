"""One process of a test fleet with its log; it is signalled by process id only."""

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

    :param name: the process's name in the fleet.
    :param arguments: the arguments of ``python -m``.
    :param directory: the directory of the log file.
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
                # Without a new session, a frozen process would get SIGHUP when the
                # shell that runs the tests exits and orphans its process group.
                start_new_session=True,
            )
        _running.add(self)

    @property
    def pid(self):
        """The process's id."""
        return self._popen.pid

    def alive(self):
        """Return whether the process has not exited; true for a frozen process."""
        return self._popen.poll() is None

    def log(self):
        """Return the complete output of the process."""
        return self.log_path.read_text(errors="replace")

    def log_tail(self):
        """Return the end of the output."""
        return self.log()[-LOG_TAIL_CHARS:]

    def kill(self):
        """Kill the process with SIGKILL, which also ends a frozen process."""
        self._signal(signal.SIGKILL)

    def freeze(self):
        """Freeze the process with SIGSTOP, which it cannot detect or handle."""
        self._signal(signal.SIGSTOP)

    def thaw(self):
        """Resume the process after a freeze, with SIGCONT."""
        self._signal(signal.SIGCONT)

    def terminate(self):
        """Request a graceful shutdown with SIGTERM."""
        self._signal(signal.SIGTERM)

    def reload(self):
        """Make the process reload its settings, with SIGHUP."""
        self._signal(signal.SIGHUP)

    async def wait(self, timeout_s=_common.EVENT_TIMEOUT_S):
        """Wait until the process has exited.

        :return: the exit code.
        """
        await _common.eventually(lambda: not self.alive(), timeout_s)
        return self._popen.returncode

    async def ready_port(self):
        """Wait until a stand-in prints the line ``ready PORT``.

        :return: the port.
        """
        line = await _common.eventually(self._ready_line)
        return int(line.removeprefix(READY))

    def _ready_line(self):
        for line in self.log().splitlines():
            if line.startswith(READY):
                return line
        if not self.alive():
            raise AssertionError(f"{self.name} exited early:\n{self.log_tail()}")
        return None

    def _signal(self, number):
        if self.alive():
            self._popen.send_signal(number)


def stand_in(name, kind, options, directory):
    """Start a stand-in process.

    :param name: the process's name in the fleet.
    :param kind: the module in ``test/standins``.
    :param options: the stand-in's settings, with ``address`` and ``port``.
    :param directory: the directory of the log file.
    :return: the :class:`Process`.
    """
    arguments = [f"test.standins.{kind}", json.dumps(options)]
    return Process(name, arguments, directory)


async def stop_all(processes):
    """Kill processes and wait until they have exited.

    :param processes: the :class:`Process` objects.
    """
    for process in processes:
        process.kill()
    await asyncio.gather(*(process.wait(STOP_TIMEOUT_S) for process in processes))


@atexit.register
def _kill_leftovers():
    for process in list(_running):
        process.kill()
