"""Starts the processes of one benchmark and stops them at its end."""

import shutil
import tempfile

from test import _common, _process

ADDRESS = "127.0.0.9"


class Directory:
    """Async context manager for processes that share a temporary directory."""

    __slots__ = ("path", "_processes")

    def __init__(self):
        self.path = tempfile.mkdtemp(prefix="goldcrestmoor-")
        self._processes = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exception):
        await _process.stop_all(self._processes)
        shutil.rmtree(self.path, ignore_errors=True)

    def start(self, name, arguments):
        """Start ``python -m`` with the given arguments.

        :return: the process.
        """
        process = _process.Process(name, arguments, self.path)
        self._processes.append(process)
        return process

    async def stand_in(self, name, kind, options):
        """Start a stand-in and wait until it is ready.

        :return: its address and port.
        """
        port = _common.free_port(ADDRESS)
        options = {"address": ADDRESS, "port": port, **options}
        process = _process.stand_in(name, kind, options, self.path)
        self._processes.append(process)
        await process.ready_port()
        return ADDRESS, port
