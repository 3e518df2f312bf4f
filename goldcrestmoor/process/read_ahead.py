"""Reads a streamed response ahead of a slow caller, as far as memory allows."""

import asyncio
import collections
import contextlib

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process import memory_guard
from goldcrestmoor.process.memory_guard import ROOM_INTERVAL_MS


def buffered(request, provider, deadline=None):
    """Return a provider of a response's bytes, read at the server's speed.

    Returns ``provider`` itself where memory is not counted.

    :param request: the caller's request, of blacksheep.
    :param provider: an async generator function of the response's bytes.
    :param deadline: when a caller that holds all it may, and so keeps the rest from
        being read, is given up; never when omitted.
    """
    memory = memory_guard.of_scope(request.scope)
    if memory is None:
        return provider

    async def read_ahead():
        async with contextlib.aclosing(
            _read_ahead(memory, provider(), deadline)
        ) as chunks:
            async for chunk in chunks:
                yield chunk

    return read_ahead


async def _read_ahead(memory, chunks, deadline):
    waiting, arrived = collections.deque(), asyncio.Event()

    async def read():
        try:
            async with contextlib.aclosing(chunks):
                async for chunk in chunks:
                    waiting.append(chunk)
                    memory.add_response(len(chunk))
                    arrived.set()
                    await _wait_for_room(memory, deadline)
        finally:
            arrived.set()

    reader = asyncio.create_task(read(), name="read ahead")
    try:
        while True:
            while waiting:
                chunk = waiting.popleft()
                yield chunk
                # The caller's connection has taken it, or has it in its write buffer.
                memory.add_response(-len(chunk))
                memory.room.set()
            if reader.done():
                await reader
                return
            arrived.clear()
            await arrived.wait()
    finally:
        reader.cancel()
        await asyncio.gather(reader, return_exceptions=True)


async def _wait_for_room(memory, deadline):
    while not memory.may_read_ahead():
        if deadline is not None and deadline.passed():
            memory.give_up("deadline")
            text = "The caller took too little of the stream in its time."
            raise ServiceError(ErrorKind.UPSTREAM_TIMEOUT, text)
        memory.room.clear()
        with contextlib.suppress(TimeoutError):
            # Others may make room too, which this caller isn't told.
            async with asyncio.timeout(ROOM_INTERVAL_MS / MS_PER_SECOND):
                await memory.room.wait()
