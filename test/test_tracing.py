"""The trace context is propagated when spans are not exported."""

import unittest

from goldcrestmoor import tracing

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
PARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"


class ContextPropagationTest(unittest.TestCase):
    def setUp(self):
        tracing.set_up("host-1", "none")

    def test_the_callers_context_reaches_every_hop(self):
        with tracing.span("serve", PARENT):
            with tracing.span("call"):
                self.assertEqual(tracing.traceparent(), PARENT)
            with tracing.detached_span("stream") as parent:
                self.assertEqual(parent, PARENT)
        self.assertEqual(tracing.traceparent(), "")

    def test_a_request_without_a_context_gets_one(self):
        with tracing.span("serve"):
            outer = tracing.traceparent()
            self.assertRegex(outer, "^00-[0-9a-f]{32}-[0-9a-f]{16}-01$")
            with tracing.span("call"):
                self.assertEqual(tracing.traceparent(), outer)
        with tracing.span("serve", "malformed"):
            self.assertNotIn(tracing.traceparent(), ("", outer))

    def test_a_peers_message_has_its_own_context(self):
        with tracing.span("serve"), tracing.span("handle", PARENT):
            self.assertEqual(tracing.traceparent(), PARENT)
