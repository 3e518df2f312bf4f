"""Print the resident memory of a process after each group of modules is imported."""

import importlib

RESIDENT_FIELD = 1
PAGE_BYTES = 4096
MB = 1_000_000
GROUPS = (
    ("Python alone", ()),
    ("and msgspec, h11, pyzmq", ("msgspec", "h11", "zmq.asyncio")),
    ("and OpenTelemetry", ("opentelemetry.sdk.trace.export",)),
    ("and prometheus_client", ("prometheus_client",)),
    ("and blacksheep, uvicorn", ("blacksheep", "uvicorn")),
    ("and lark", ("lark",)),
    ("and the daemon's modules", ("goldcrestmoor.process.daemon",)),
)


def resident_bytes():
    """Return the resident memory of this process, in bytes."""
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[RESIDENT_FIELD]) * PAGE_BYTES


def main():
    """Print the memory after each group."""
    for name, modules in GROUPS:
        for module in modules:
            importlib.import_module(module)
        print(f"  {resident_bytes() / MB:6.1f} MB {name}", flush=True)


if __name__ == "__main__":
    main()
