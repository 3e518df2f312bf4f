"""Load generator in a separate process; prints its measurements as JSON.

``python -m test.bench.caller KIND ADDRESS PORT CALLERS SECONDS TOKENS`` with the
kind ``fetch`` or ``stream`` runs CALLERS concurrent calls for SECONDS. Times are
microseconds since the start of a call.
"""

import asyncio
import json
import sys
import time

from hdrh.histogram import HdrHistogram

from goldcrestmoor.clock import Clock
from goldcrestmoor.connection.http_client import HttpClient
from test import _common

TOKEN = "bench-token"
MAX_US = 60_000_000
HEADERS = [
    (b"authorization", f"Bearer {TOKEN}".encode()),
    (b"content-type", b"application/json"),
]


class Caller:
    """Runs calls and records their counts and latencies.

    :param kind: ``fetch`` or ``stream``.
    :param endpoint: the address and port to call.
    :param tokens: the number of tokens of a stream.
    """

    def __init__(self, kind, endpoint, tokens):
        self.first = HdrHistogram(1, MAX_US, 3)
        self.whole = HdrHistogram(1, MAX_US, 3)
        self.calls = self.events = self.failures = 0
        self._call = self._fetch if kind == "fetch" else self._stream
        self._endpoint = endpoint
        self._tokens = tokens
        self._http = HttpClient(clock=Clock(), limits=_common.make_settings().limits)

    async def run(self, callers, seconds):
        """Run concurrent callers for some seconds."""
        end = time.monotonic() + seconds
        await asyncio.gather(*(self._repeat(i, end) for i in range(callers)))
        await self._http.close()

    async def _repeat(self, number, end):
        while time.monotonic() < end:
            started = time.perf_counter()
            await self._call(number, started)
            self.whole.record_value(_since(started))
            self.calls += 1

    async def _fetch(self, number, started):
        answer = await self._http.request(
            *self._endpoint, "GET", "/apps/dash/panel", HEADERS, idempotent=True
        )
        self.failures += answer.status != 200

    async def _stream(self, number, started):
        body = {"model": "lm-pool", "prompt": f"p{number}", "stream": True, "seed": 1}
        body["max_tokens"] = self._tokens
        opened = self._http.stream(
            *self._endpoint,
            "POST",
            "/v1/completions",
            HEADERS,
            json.dumps(body).encode(),
        )
        events, is_whole = 0, False
        async with opened as answer:
            async for chunk in answer.body():
                if not events:
                    self.first.record_value(_since(started))
                events += chunk.count(b"data:")
                is_whole = b"[DONE]" in chunk
        self.events += events - 1
        self.failures += not is_whole

    def report(self):
        """Return the measurements as a JSON-serializable dict."""
        percentiles = {
            f"{name}_{p}": histogram.get_value_at_percentile(p)
            for name, histogram in (
                ("first", self.first),
                ("whole", self.whole),
            )
            for p in (50, 99)
        }
        counts = {"calls": self.calls, "events": self.events}
        return {**counts, "failures": self.failures, **percentiles}


def _since(started):
    return max(1, int((time.perf_counter() - started) * 1e6))


def main(kind, address, port, callers, seconds, tokens):
    """Run the callers and print the report."""
    caller = Caller(kind, (address, int(port)), int(tokens))
    asyncio.run(caller.run(int(callers), float(seconds)))
    print(json.dumps(caller.report()))


if __name__ == "__main__":
    main(*sys.argv[1:])
