"""The documentation's tables match the code."""

import dataclasses
import pathlib
import re
import typing
import unittest

from goldcrestmoor import settings
from goldcrestmoor.errors import ANSWER_BY_KIND
from test import check_docs

DOCS = pathlib.Path(check_docs.ROOT) / "docs"


def error_rows():
    """Yield the error table's rows as they stand in the documentation."""
    for kind, answer in ANSWER_BY_KIND.items():
        fields = (kind.value, answer.status, answer.ran.value, answer.retry.value)
        yield fields + (answer.retry_after_ms, answer.exit_code)


def render(rows):
    """Yield the lines of a reST list table."""
    for row in rows:
        for number, field in enumerate(row):
            yield f"   {'* -' if number == 0 else '  -'} {field}"


class ErrorTableTest(unittest.TestCase):
    def test_the_page_lists_every_kind_as_the_code_does(self):
        page = (DOCS / "errors.rst").read_text()
        self.assertIn("\n".join(render(error_rows())), page)


class SettingsPageTest(unittest.TestCase):
    def test_the_page_names_every_setting_and_no_other(self):
        page = (DOCS / "settings.rst").read_text()
        named = set(re.findall(r"``([a-z]+\.[a-z_]+)``", page))
        self.assertEqual(named, set(setting_names()))


def setting_names():
    """Yield every setting as section and name."""
    sections = typing.get_type_hints(settings.Settings)
    for section, kind in sections.items():
        kind = typing.get_args(kind)[0] if typing.get_args(kind) else kind
        for field in dataclasses.fields(kind):
            yield f"{section}.{field.name}"
