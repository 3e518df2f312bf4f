"""Small helpers shared by several modules."""

import asyncio
import hashlib
import logging
import random
import secrets

import xxhash

from goldcrestmoor.clock import MS_PER_SECOND

log = logging.getLogger("goldcrestmoor.util")

# Large enough that two processes do not generate the same identifier.
ID_BYTES = 12
# Prevents a component that fails on every start from using a whole CPU core.
RESTART_DELAY_MS = 100


def new_id():
    """Return a new random identifier."""
    return secrets.token_hex(ID_BYTES)


def hash_token(token):
    """Return the hash under which a client account's token is stored.

    :param token: the token as sent by the caller.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def rendezvous(key, nodes):
    """Return the node that owns a key, by rendezvous (highest random weight) hashing.

    When a node is removed, only the keys of that node move.

    :param key: the key, a string.
    :param nodes: the nodes' names.
    :raises ValueError: when there are no nodes.
    """
    return max(nodes, key=lambda node: _weight(node, key))


def rendezvous_order(key, nodes):
    """Return the nodes by descending rendezvous weight for a key.

    :param key: the key, a string.
    :param nodes: the nodes' names.
    """
    return sorted(nodes, key=lambda node: _weight(node, key), reverse=True)


def _weight(node, key):
    return xxhash.xxh64_intdigest(f"{node}/{key}".encode()), node


async def wait_within(timeout_ms, wait):
    """Return a result that arrives before the timeout or is available when it fires.

    After a stall of this process, the event loop sees the timer and the data that
    arrived meanwhile in the same iteration, and the timer cancels the wait. A second
    call with a timeout of zero then returns that data.

    :param timeout_ms: the timeout, in milliseconds.
    :param wait: a coroutine function that returns the result; called again after the
        timeout.
    :raises TimeoutError: when no result is available.
    """
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
            return await wait()
    except TimeoutError:
        async with asyncio.timeout(0):
            return await wait()


class TaskGroup:
    """Tasks that are cancelled when the group is closed; failures are logged."""

    __slots__ = ("_tasks",)

    def __init__(self):
        self._tasks = set()

    def start(self, coroutine, name=None):
        """Run a coroutine as a task and return the task.

        :param coroutine: the coroutine to run.
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
        """Cancel all tasks and wait until they have finished."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def keep_running(name, run, clock):
    """Run a component of the process until cancelled, and restart it when it fails.

    A failed component must not stay down while the process keeps serving.

    :param name: the component's name, for the log.
    :param run: a coroutine function that returns only when it fails.
    :param clock: the clock.
    """
    while True:
        try:
            await run()
        except Exception:
            log.exception("Component %s failed and will be restarted.", name)
        await clock.sleep_ms(RESTART_DELAY_MS)


class Backoff:
    """Exponential backoff: random delays whose upper bound doubles up to a maximum.

    Each delay is drawn between half of ``min_ms`` and the current upper bound.

    :param min_ms: the upper bound of the first delay, in milliseconds.
    :param max_ms: the upper bound of every delay, in milliseconds.
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
        """Reset the upper bound to that of the first delay, after a success."""
        self._bound_ms = self._min_ms
