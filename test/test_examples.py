"""The shipped examples contain valid settings and commands."""

import json
import unittest

from goldcrestmoor import settings
from goldcrestmoor.language import parser
from goldcrestmoor.language.statements import CreateUpstream
from test._process import ROOT

UPSTREAMS = 9


class ExamplesTest(unittest.TestCase):
    def test_settings_are_good(self):
        paths = sorted((ROOT / "examples").glob("*/*.json"))
        self.assertEqual(len(paths), 2)
        for path in paths:
            loaded = settings.decode(json.loads(path.read_text()), str(path))
            self.assertEqual(len({peer.zone for peer in loaded.peers}), 3)

    def test_configurations_can_be_read(self):
        paths = sorted((ROOT / "examples").glob("*/configuration.txt"))
        self.assertEqual(len(paths), 2)
        for path in paths:
            statements = parser.parse(path.read_text()).statements
            upstreams = [s for s in statements if isinstance(s, CreateUpstream)]
            self.assertEqual(len(upstreams), UPSTREAMS)
