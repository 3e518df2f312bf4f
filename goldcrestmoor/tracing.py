"""Tracing: one span per hop, with W3C trace context propagation."""

import contextlib
import random

from opentelemetry import trace
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

# Of W3C trace context.
TRACE_ID_BITS = 128
SPAN_ID_BITS = 64
_TRACEPARENT = "traceparent"
_tracer = trace.get_tracer("goldcrestmoor")
_propagator = TraceContextTextMapPropagator()
_is_exporting = False


def set_up(host, exporter="none"):
    """Configure the span exporter.

    :param host: the host's name, set as a resource attribute of every span.
    :param exporter: ``none`` or ``console``.
    """
    global _is_exporting
    _is_exporting = exporter != "none"
    if not _is_exporting:
        return
    # A daemon that exports no spans does not load the SDK.
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.export import (
        ConsoleSpanExporter,
        SimpleSpanProcessor,
    )

    provider = TracerProvider(resource=Resource.create({"host.name": host}))
    if exporter == "console":
        provider.add_span_processor(SimpleSpanProcessor(ConsoleSpanExporter()))
    trace.set_tracer_provider(provider)


@contextlib.contextmanager
def span(name, parent=None, **attributes):
    """Record a span for one hop and make it the current span.

    :param name: the span's name.
    :param parent: the caller's ``traceparent`` header or field, if any.
    :param attributes: the span's attributes.
    :return: a context manager that yields the OpenTelemetry span.
    """
    context = _propagator.extract({_TRACEPARENT: parent}) if parent else None
    if not _is_exporting:
        with _propagated_context(context) as current:
            yield current
        return
    with _tracer.start_as_current_span(
        name, context=context, attributes=attributes
    ) as current:
        yield current


@contextlib.contextmanager
def detached_span(name, **attributes):
    """Record a span for one hop whose code is suspended in between, as in a generator.

    The span does not become the current span: a generator must not change it.

    :param name: the span's name.
    :param attributes: the span's attributes.
    :return: a context manager that yields the span's ``traceparent``.
    """
    if not _is_exporting:
        yield traceparent()
        return
    current = _tracer.start_span(name, attributes=attributes)
    carrier = {}
    _propagator.inject(carrier, trace.set_span_in_context(current))
    try:
        yield carrier.get(_TRACEPARENT, "")
    finally:
        current.end()


@contextlib.contextmanager
def _propagated_context(context):
    """Propagate the trace context, or start a new one, when spans are not exported.

    :param context: the caller's context, or None.
    """
    current = trace.get_current_span(context)
    if not current.get_span_context().is_valid:
        current = trace.NonRecordingSpan(
            trace.SpanContext(
                _new_id(TRACE_ID_BITS),
                _new_id(SPAN_ID_BITS),
                is_remote=False,
                trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
            )
        )
    elif context is None:
        yield current
        return
    with trace.use_span(current, record_exception=False):
        yield current


def _new_id(bits):
    # An id of zero is invalid.
    return random.getrandbits(bits) or 1


def traceparent():
    """Return the current span's context as a ``traceparent``, or an empty string."""
    carrier = {}
    _propagator.inject(carrier)
    return carrier.get(_TRACEPARENT, "")
