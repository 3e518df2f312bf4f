"""Simulates a model engine: continuous batching, prefix cache, weights, faults.

The output depends only on the prompt, the seed and the token's index, so that tests
can check a resumed stream. A ``tagged`` engine also writes into each token the weight
version, engine and stream that generated it, so that the output shows its origin and
no two streams produce the same one. ``POST /control/set`` changes any option of
:class:`Options`, and ``GET /control/counts`` returns the engine's counters.
"""

import asyncio
import collections
import dataclasses
import hashlib
import json
import math
import os

from test.standins.server import Drop, Response, Server, json_response, main

STOP_AFTER_MIN = 4
LEAVING = "leaving"


@dataclasses.dataclass
class Options:
    """Performance characteristics and injected faults of the engine.

    Every running stream slows all streams by ``batch_slowdown``; each one above
    ``slots`` slows them further by ``overload_slowdown``. Prompt tokens in the prefix
    cache take no time. With ``mean_tokens`` an output may stop before ``max_tokens``;
    ``prompt_spread`` sets how far the mean length varies between prompts, in powers
    of two. With ``swap_pauses`` streams pause while weights load.
    """

    model: str = "lm"
    version: int = 1
    slots: int = 8
    token_ms: float = 1.0
    batch_slowdown: float = 0.05
    overload_slowdown: float = 0.5
    prompt_token_ms: float = 0.05
    cache_tokens: int = 4096
    report_lag_ms: int = 200
    swap_ms: int = 50
    swap_pauses: bool = False
    mean_tokens: int = 0
    prompt_spread: float = 0
    fencing: bool = True
    role: str = "generate"
    fail_swap: bool = False
    silent: bool = False
    silent_after: int = -1
    comment_ms: int = 0
    cut_after: int = -1
    state_version: bool = True
    end_mark: bool = True
    tagged: bool = False
    port: int = 0


def token_text(prompt, seed, index):
    """Return the text of one token."""
    digest = hashlib.sha256(f"{prompt}/{seed}/{index}".encode()).hexdigest()
    return f"{digest[:4]} "


def expected_text(prompt, seed, tokens):
    """Return the complete output of a completion."""
    return "".join(token_text(prompt, seed, i) for i in range(tokens))


def natural_length(prompt, seed, mean_tokens, prompt_spread=0):
    """Return a heavy-tailed output length, deterministic for a prompt and seed."""
    prompt_digest = hashlib.sha256(f"{prompt}/spread".encode()).digest()
    mean_tokens *= 2 ** (prompt_spread * (prompt_digest[0] / 127.5 - 1))
    digest = hashlib.sha256(f"{prompt}/{seed}/length".encode()).digest()
    uniform = (int.from_bytes(digest[:6], "big") + 1) / (1 << 48)
    # The mean of a Pareto distribution with exponent 2 is twice its minimum.
    return max(STOP_AFTER_MIN, round(mean_tokens / 2 / math.sqrt(uniform)))


class PrefixCache:
    """Cache of processed prompts; evicts the oldest first."""

    def __init__(self, max_tokens):
        self.max_tokens = max_tokens
        self.words_by_prompt = collections.OrderedDict()
        self.hits = 0

    def count_uncached(self, words):
        """Return the number of uncached tokens of a prompt, and cache the prompt."""
        longest_prefix = max(
            (_common_prefix_length(words, w) for w in self.words_by_prompt.values()),
            default=0,
        )
        self.hits += bool(longest_prefix)
        self.words_by_prompt[" ".join(words)] = words
        while sum(map(len, self.words_by_prompt.values())) > self.max_tokens:
            self.words_by_prompt.popitem(last=False)
        return len(words) - longest_prefix


def _common_prefix_length(a, b):
    count = 0
    for x, y in zip(a, b, strict=False):
        if x != y:
            break
        count += 1
    return count


class Engine:
    """Request handler that holds the engine's state."""

    def __init__(self, options=None, **kwargs):
        names = {field.name for field in dataclasses.fields(Options)}
        known = {k: v for k, v in (options or kwargs).items() if k in names}
        self.options = Options(**known)
        self.cache = PrefixCache(self.options.cache_tokens)
        self.running = 0
        self.started = 0
        self.refused = 0
        self.finished = 0
        self.cancelled = 0
        self.tokens = 0
        self.orders = []
        self.fencing = 0
        self.max_running = 0
        self.prefilled = 0
        self.cancelled_ids = set()
        self.not_swapping = asyncio.Event()
        self.not_swapping.set()
        self.report = self._load()
        self.report_due = 0.0

    async def __call__(self, request):
        match request.path:
            case "/v1/completions":
                return await self._complete(request)
            case "/state":
                return json_response(self._delayed_report())
            case "/orders":
                return await self._load_order(request.json())
            case "/cancel":
                self.cancelled_ids.add(request.json()["request_id"])
                return json_response({})
            case "/control/set":
                for name, value in request.json().items():
                    setattr(self.options, name, value)
                return json_response({})
            case "/control/crash":
                os._exit(1)
            case "/control/counts":
                return json_response(self.counts())
        return json_response({}, 404)

    def counts(self):
        """Return the engine's counters and the load orders received so far."""
        return {
            "started": self.started,
            "refused": self.refused,
            "finished": self.finished,
            "cancelled": self.cancelled,
            "running": self.running,
            "max_running": self.max_running,
            "tokens": self.tokens,
            "cache_hits": self.cache.hits,
            "orders": self.orders,
            "version": self.options.version,
        }

    def _load(self):
        options = self.options
        return {
            "model": options.model,
            "version": options.version,
            "running": min(self.running, options.slots),
            "waiting": max(0, self.running - options.slots),
            "role": options.role,
        }

    def _delayed_report(self):
        now = asyncio.get_running_loop().time()
        if now >= self.report_due:
            self.report_due = now + self.options.report_lag_ms / 1000
            self.report, delayed = self._load(), self.report
            delayed["version"] = self.options.version
            return delayed
        return self.report

    async def _load_order(self, order):
        options = self.options
        self.orders.append(order)
        if options.fencing:
            if order["fencing"] < self.fencing:
                return json_response({"version": options.version}, 409)
            self.fencing = order["fencing"]
        if options.swap_pauses:
            self.not_swapping.clear()
        await asyncio.sleep(options.swap_ms / 1000)
        self.not_swapping.set()
        if not options.fail_swap:
            options.model, options.version = order["model"], order["version"]
        return json_response({"version": options.version})

    async def _complete(self, request):
        await self._hang_if(self.options.silent)
        if self.options.role == LEAVING:
            self.refused += 1
            return json_response({}, 503, [("x-upstream-state", LEAVING)])
        body = request.json()
        request_id = request.headers.get("x-request-id", "")
        return Response(
            200,
            self._stream(body, request_id),
            [("content-type", "text/event-stream")],
        )

    async def _hang_if(self, silent):
        if silent:
            await asyncio.Event().wait()

    def _token_s(self):
        options = self.options
        excess = max(0, self.running - options.slots)
        slowdown = 1 + options.batch_slowdown * self.running
        return options.token_ms * (slowdown + options.overload_slowdown * excess) / 1000

    async def _stream(self, body, request_id):
        self.running += 1
        self.started += 1
        run = self.started
        self.max_running = max(self.max_running, self.running)
        completed = False
        try:
            prompt, resumed = body["prompt"], body.get("resume_text", "")
            uncached = self.cache.count_uncached((prompt + " " + resumed).split())
            self.prefilled += uncached
            await asyncio.sleep(uncached * self.options.prompt_token_ms / 1000)
            async for event in self._events(body, prompt, resumed, request_id, run):
                yield event
            if self.options.end_mark:
                yield b"data: [DONE]\n\n"
            completed = True
            self.finished += 1
        finally:
            self.cancelled += not completed
            self.running -= 1

    async def _events(self, body, prompt, resumed, request_id, run):
        options = self.options
        start = len(resumed.split())
        end = start + body["max_tokens"]
        reason = "length"
        if options.mean_tokens:
            natural = natural_length(
                prompt, body["seed"], options.mean_tokens, options.prompt_spread
            )
            if natural <= end:
                end, reason = max(natural, start + 1), "stop"
        for index in range(start, end):
            if index - start == options.cut_after or request_id in self.cancelled_ids:
                raise Drop
            while options.comment_ms and index - start == options.silent_after:
                yield b": waiting\n\n"
                await asyncio.sleep(options.comment_ms / 1000)
            await self._hang_if(index - start == options.silent_after)
            await asyncio.sleep(self._token_s())
            await self.not_swapping.wait()
            self.tokens += 1
            text = token_text(prompt, body["seed"], index)
            if options.tagged:
                text = f"{text.rstrip()}.{options.version}.{options.port}-{run} "
            choice = {"text": text}
            choice["finish_reason"] = reason if index == end - 1 else None
            event = {"choices": [choice], "tokens": 1}
            if options.state_version:
                event["version"] = options.version
            yield b"data: " + json.dumps(event).encode() + b"\n\n"


def make_server(**options):
    """Return the engine and a server for it, by default on a free port."""
    engine = Engine(options)
    return engine, Server(engine, "127.0.0.1", options.get("port", 0))


if __name__ == "__main__":
    main(Engine)
