"""Settings are decoded strictly."""

import unittest

from goldcrestmoor import settings
from goldcrestmoor.errors import UserError
from test import _common


class SettingsTest(unittest.TestCase):
    def test_defaults_are_filled_in(self):
        loaded = settings.decode(_common.settings_document())
        self.assertEqual(loaded.configuration.lease_ms, 6000)

    def test_every_fault_is_named_with_its_path(self):
        document = _common.settings_document()
        document["host"]["http_port"] = 70000
        document["limits"] = {"queue_timeout_ms": "soon"}
        document["surprise"] = 1
        with self.assertRaises(UserError) as caught:
            settings.decode(document)
        self.assertEqual(caught.exception.exit_code, 2)
        for path in ("host.http_port", "limits.queue_timeout_ms", "surprise"):
            self.assertIn(path, str(caught.exception))

    def test_a_document_that_is_no_object_is_refused(self):
        with self.assertRaises(UserError):
            settings.decode([])
