"""Small helpers that several parts need."""

import asyncio
import hashlib
import logging
import random
import secrets

import xxhash

from goldcrestmoor.clock import MS_PER_SECOND

log = logging.getLogger("goldcrestmoor.util")

# Two processes never draw the same identifier.
ID_BYTES = 12
# A part that fails at each start must not take the whole processor.
RESTART_DELAY_MS = 100


def new_id():
    """Return a new random identifier."""
    return secrets.token_hex(ID_BYTES)


def hash_token(token):
    """Return the stored form of an account's token.

    :param token: the token as the caller sends it.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def rendezvous(key, nodes):
    """Return the node that a key belongs to, by highest random weight.

    Only the keys of a node that goes away move.

    :param key: the key's text.
    :param nodes: the nodes' names.
    :raises ValueError: when there are no nodes.
    """
    return max(nodes, key=lambda node: _weight(node, key))


def rendezvous_order(key, nodes):
    """Return the nodes in the order in which a key prefers them.

    :param key: the key's text.
    :param nodes: the nodes' names.
    """
    return sorted(nodes, key=lambda node: _weight(node, key), reverse=True)


def _weight(node, key):
    return xxhash.xxh64_intdigest(f"{node}/{key}".encode()), node


async def wait_within(timeout_ms, wait):
    """Return what comes within a time, or has come by its end.

    After a stall of this process the loop hears of the timer and of what came
    meanwhile at once, and the timer ends the wait. What has come is then there without
    a wait.

    :param timeout_ms: how long to wait, in milliseconds.
    :param wait: called for what is awaited; called again after the time has passed.
    :raises TimeoutError: when nothing has come.
    """
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
            return await wait()
    except TimeoutError:
        async with asyncio.timeout(0):
            return await wait()


class TaskGroup:
    """Tasks that end with their owner, and whose failures are logged."""

    __slots__ = ("_tasks",)

    def __init__(self):
        self._tasks = set()

    def start(self, coroutine, name=None):
        """Run a coroutine as a task and return the task.

        :param coroutine: what to run.
        :param name: the task's name, for the log.
        """
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("Task %s failed.", task.get_name(), exc_info=task.exception())

    async def close(self):
        """Cancel every task and wait until all have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def keep_running(name, run, clock):
    """Run a part of the process for good, and again after it has failed.

    A fault in one part must not leave the process serving with that part dead.

    :param name: the part's name, for the log.
    :param run: a coroutine function that returns only when it fails.
    :param clock: the clock.
    """
    while True:
        try:
            await run()
        except Exception:
            log.exception("Part %s failed and is started again.", name)
        await clock.sleep_ms(RESTART_DELAY_MS)


class Backoff:
    """Delays that double up to a bound, each with full jitter.

    :param min_ms: the bound on the first delay, in milliseconds.
    :param max_ms: the bound on every delay, in milliseconds.
    """

    __slots__ = ("_min_ms", "_max_ms", "_bound_ms")

    def __init__(self, min_ms, max_ms):
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._bound_ms = min_ms

    def next_ms(self):
        """Return the next delay in milliseconds."""
        delay_ms = random.uniform(self._min_ms / 2, self._bound_ms)
        self._bound_ms = min(self._max_ms, self._bound_ms * 2)
        return delay_ms

    def reset(self):
        """Start over, after a success."""
        self._bound_ms = self._min_ms
