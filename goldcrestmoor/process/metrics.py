"""The daemon's metrics."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
)

LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    15,
)


class Metrics:
    """The metrics of one daemon, in a separate registry."""

    __slots__ = (
        "registry",
        "requests",
        "request_seconds",
        "queue_age_ms",
        "queue_length",
        "in_flight",
        "share_used_tokens",
        "retries",
        "staleness",
        "samples",
        "trainer_idle_ms",
        "lease_age_ms",
        "configuration_version",
        "live_hosts",
        "control_bytes",
        "bad_input",
        "orders",
        "store_calls",
        "items",
        "answers",
        "answer_seconds",
        "items_started",
        "groups_given_up",
        "refusals",
        "items_waiting",
        "reward_calls",
        "reward_calls_waiting",
        "reward_calls_in_flight",
        "reward_seconds",
        "items_waiting_ms",
        "duty_held",
        "feed_age_ms",
        "limited_upstreams",
        "limited_requests",
        "crashed_requests",
        "blocked_requests",
        "unreachable_upstreams",
        "relayed_requests",
        "api_calls",
        "unauthorized",
        "accounts",
        "server_orders",
        "target_servers",
        "listed_servers",
        "usage_windows",
        "usage_report_age_s",
        "usage_unreported_starts",
        "configuration_age_ms",
        "learned_rows",
        "outdated_refusals",
        "held_bytes",
        "connections_given_up",
        "memory_refusals",
        "response_bytes",
    )

    def __init__(self):
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self.requests = self._counter(
            "requests", "Requests by account and outcome.", "account", "outcome"
        )
        self.request_seconds = Histogram(
            "goldcrestmoor_request_seconds",
            "Time from a request's head to the end of its answer.",
            ("route",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.queue_age_ms = self._gauge(
            "queue_age_ms", "Age of the oldest queued request.", "upstream"
        )
        self.queue_length = self._gauge(
            "queue_length", "Requests queued at the owner.", "upstream"
        )
        self.in_flight = self._gauge(
            "in_flight", "Requests admitted by the owner.", "upstream"
        )
        self.share_used_tokens = self._counter(
            "share_used_tokens", "Tokens admitted by account.", "account"
        )
        self.retries = self._counter("retries", "Retries by cause.", "cause")
        self.staleness = Histogram(
            "goldcrestmoor_sample_staleness_versions",
            "Versions that a delivered sample lags behind its trainer.",
            ("account",),
            buckets=(0, 1, 2, 3, 5, 8, 13),
            registry=self.registry,
        )
        self.samples = self._counter(
            "samples", "Samples by account and outcome.", "account", "outcome"
        )
        self.trainer_idle_ms = self._counter(
            "trainer_idle_ms", "Time that pulls waited for samples.", "account"
        )
        self.lease_age_ms = self._gauge(
            "configuration_lease_age_ms", "Time since the last good read was sent."
        )
        self.configuration_version = self._gauge(
            "configuration_version", "The configuration's version in force here."
        )
        self.live_hosts = self._gauge("live_hosts", "Hosts believed alive.", "zone")
        self.control_bytes = self._counter(
            "control_bytes",
            "Bytes to and from peers and the platform.",
            "message",
            "direction",
        )
        self.bad_input = self._counter(
            "bad_input", "Input that was refused, by where.", "where"
        )
        self.orders = self._counter("orders", "Orders to upstreams.", "outcome")
        self.store_calls = self._counter(
            "store_calls", "Calls to the platform's store.", "call", "outcome"
        )
        self.items = self._counter(
            "items", "Tries of batch jobs' items by outcome.", "outcome"
        )
        self.answers = self._counter(
            "answers", "Answers by kind of route and outcome.", "kind", "outcome"
        )
        self.answer_seconds = Histogram(
            "goldcrestmoor_answer_seconds",
            "Time from a request's head until its answer, or its stream's first event.",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.items_waiting = self._gauge(
            "items_waiting", "Items of jobs run here that wait for a slot.", "model"
        )
        self.items_started = self._counter(
            "items_started", "Starts of jobs' items by class of work.", "class"
        )
        self.groups_given_up = self._counter(
            "groups_given_up", "Groups not whole when their job ended.", "class"
        )
        self.refusals = self._counter(
            "refusals",
            "Requests refused for load, by reason and priority.",
            "reason",
            "priority",
        )
        self.reward_calls = self._counter(
            "reward_calls", "Attempts of reward calls by outcome.", "outcome"
        )
        self.reward_calls_waiting = self._gauge(
            "reward_calls_waiting",
            "Reward calls of jobs run here that wait for a slot.",
        )
        self.reward_calls_in_flight = self._gauge(
            "reward_calls_in_flight", "Reward calls that a server may be running."
        )
        self.reward_seconds = Histogram(
            "goldcrestmoor_reward_seconds",
            "Time from an item's complete text until its score.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.items_waiting_ms = self._gauge(
            "items_waiting_ms",
            "How long the job has been run that waits most.",
            "model",
        )
        self.duty_held = self._gauge(
            "duty_held", "Whether this host holds a duty.", "duty"
        )
        self.feed_age_ms = self._gauge(
            "feed_age_ms",
            "Time since the store last answered the feed of a table; -1 before.",
            "table",
        )
        self.limited_upstreams = self._gauge(
            "limited_upstreams", "Upstreams that state a limit on their requests."
        )
        self.limited_requests = self._counter(
            "limited_requests", "Requests to such upstreams by outcome.", "outcome"
        )
        self.crashed_requests = self._counter(
            "crashed_requests", "Requests that a server had when it ended."
        )
        self.unreachable_upstreams = self._gauge(
            "unreachable_upstreams", "Upstreams that this host can't connect to."
        )
        self.relayed_requests = self._counter(
            "relayed_requests",
            "Requests sent through another host, by outcome.",
            "outcome",
        )
        self.blocked_requests = self._gauge(
            "blocked_requests", "Requests that are blocked as servers crash under them."
        )

        self.api_calls = self._counter(
            "api_calls", "Calls to the platform's API.", "call", "outcome"
        )
        self.unauthorized = self._counter(
            "unauthorized",
            "Requests refused for their API key, by the account that held it.",
            "account",
        )
        self.accounts = self._gauge("accounts", "Client accounts in force here.")
        self.server_orders = self._counter(
            "server_orders", "Orders of servers.", "service", "zone", "outcome"
        )
        self.target_servers = self._gauge(
            "target_servers",
            "Servers that this host orders, as holder of the duty.",
            "service",
            "zone",
        )
        self.listed_servers = self._gauge(
            "listed_servers",
            "Listed servers that accept work, at the host that orders servers.",
            "service",
            "zone",
        )
        self.usage_windows = self._counter(
            "usage_windows", "Usage windows reported by this host.", "outcome"
        )
        self.usage_report_age_s = self._gauge(
            "usage_report_age_s",
            "Time since a usage report of this host was accepted; -1 before.",
        )
        self.usage_unreported_starts = self._gauge(
            "usage_unreported_starts",
            "Starts of requests that the holder of the API duty has not received.",
        )
        self.configuration_age_ms = self._gauge(
            "configuration_age_ms",
            "Time since the configuration was surely the newest; -1 before.",
        )
        self.learned_rows = self._counter(
            "learned_rows", "Rows of the operator's table learned from other hosts."
        )
        self.outdated_refusals = self._counter(
            "outdated_refusals", "Requests refused as the configuration is too old."
        )
        self.held_bytes = self._gauge(
            "held_bytes", "Bytes held for callers and servers that read slowly.", "kind"
        )
        self.connections_given_up = self._counter(
            "connections_given_up", "Connections closed for what they hold.", "reason"
        )
        self.memory_refusals = self._counter(
            "memory_refusals", "Requests refused because no memory is left for them."
        )
        self.response_bytes = self._gauge(
            "response_bytes", "Memory that the responses of servers take."
        )

    def _counter(self, name, text, *labels):
        return Counter(f"goldcrestmoor_{name}", text, labels, registry=self.registry)

    def _gauge(self, name, text, *labels):
        return Gauge(f"goldcrestmoor_{name}", text, labels, registry=self.registry)
