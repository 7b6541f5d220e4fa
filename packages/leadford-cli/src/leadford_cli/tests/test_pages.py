"""What the pages for operators show is true of the code."""

import re
import tomllib
from pathlib import Path

import pytest
from returns.result import Success

from leadford.pipelines.config import config_from_document
from leadford.pipelines.language import parse

ROOT = Path(__file__).parents[5]
PAGES = sorted((ROOT / "docs" / "operators").glob("*.md"))


def statements(page):
    blocks = re.findall(r"```leadford\n(.*?)```", page.read_text(), re.S)
    return [line for block in blocks for line in block.splitlines() if line]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_every_statement_on_a_page_parses(page):
    for statement in statements(page):
        assert isinstance(parse(statement), Success), statement


def test_the_language_page_shows_every_kind_of_statement():
    shown = {
        type(parse(s).unwrap()) for s in statements(PAGES[0].parent / "language.md")
    }
    from leadford.pipelines import language

    kinds = set(language.Statement.__args__)
    assert kinds <= shown


def test_the_example_configuration_passes_its_check():
    document = tomllib.loads((ROOT / "examples" / "fleet.toml").read_text())
    assert isinstance(config_from_document(document), Success)
