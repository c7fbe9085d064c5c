"""The tables of the reference pages say what the code says."""

import unittest
from pathlib import Path

from extras.reference_tables import RENDERERS
from wisteriaarch.process.settings import EntrySettings
from wisteriaarch.process.settings_models import load_model
from wisteriaarch.version.manifest import Manifest

EXAMPLES = Path("extras/examples")
PAGES = {
    "events": "docs/EVENTS.md",
    "errors": "docs/HTTP.md",
    "metrics": "docs/OPERATIONS.md",
    "settings": "docs/CONFIGURATION.md",
    "gateway": "docs/CONFIGURATION.md",
    "manifest": "docs/CONFIGURATION.md",
}


class ReferenceTest(unittest.TestCase):
    def test_tables_are_those_of_the_code(self):
        for name, page in PAGES.items():
            with self.subTest(table=name):
                text = Path(page).read_text(encoding="utf-8")
                hint = f"print it again: python -m extras.reference_tables {name}"
                self.assertTrue(RENDERERS[name]() in text, hint)

    def test_examples_are_valid(self):
        EntrySettings.from_file(EXAMPLES / "entry.json")
        load_model(Manifest, EXAMPLES / "manifest.json")
