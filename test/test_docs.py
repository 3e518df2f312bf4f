"""The documentation's tables match the code."""

import pathlib
import re
import typing
import unittest

import msgspec

from goldcrestmoor import front_settings, settings
from goldcrestmoor.errors import ANSWER_BY_KIND
from test import check_docs

DOCS = pathlib.Path(check_docs.ROOT) / "docs"


def error_rows():
    """Yield the rows of the error table in the column order of the documentation."""
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


# Sections of the front daemon's settings that settings.rst documents.
SHARED_SECTIONS = ("limits", "shutdown", "log", "tracing")


class SettingsPageTest(unittest.TestCase):
    def settings_named_on(self, page):
        text = (DOCS / page).read_text()
        return set(re.findall(r"``([a-z]+\.[a-z_]+)``", text))

    def test_the_page_names_every_setting_and_no_other(self):
        self.assertEqual(
            self.settings_named_on("settings.rst"),
            set(setting_names(settings.Settings)),
        )

    def test_the_platforms_page_names_every_setting_and_no_other(self):
        names = set(setting_names(front_settings.FrontSettings))
        front_only = {n for n in names if n.partition(".")[0] not in SHARED_SECTIONS}
        # The page also names one shared setting, which takes effect on a reload.
        self.assertEqual(
            self.settings_named_on("front-settings.rst"), front_only | {"log.level"}
        )


def setting_names(document):
    """Yield the ``section.name`` of every setting of a settings class."""
    sections = typing.get_type_hints(document)
    for section, kind in sections.items():
        kind = typing.get_args(kind)[0] if typing.get_args(kind) else kind
        for field in msgspec.structs.fields(kind):
            yield f"{section}.{field.name}"
