"""The two programs import nothing of each other; shared folders import neither."""

import ast
from pathlib import Path

import pytest

import leadford_server

pytestmark = pytest.mark.usefixtures("no_garbage_collection")

ROOT = Path(leadford_server.__file__).parent
SHARED_FOLDERS = (
    "clock",
    "logs",
    "metrics",
    "peers",
    "quarantine",
    "settings",
    "stops",
    "web",
)


def imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def imports_of(part):
    paths = sorted((ROOT / part).rglob("*.py"))
    assert paths
    return [(path.name, name) for path in paths for name in imported_modules(path)]


def test_the_forwarding_entry_imports_nothing_of_the_own_interface():
    found = imports_of("forwarding")
    others = ("leadford_server.pipelines", "leadford.pipelines")
    assert not [pair for pair in found if pair[1].startswith(others)]


def test_the_own_interface_imports_nothing_of_the_forwarding_entry():
    found = imports_of("pipelines")
    others = ("leadford_server.forwarding", "leadford.forwarding")
    assert not [pair for pair in found if pair[1].startswith(others)]


def test_the_shared_ground_imports_neither_program():
    programs = (
        "leadford.forwarding",
        "leadford.pipelines",
        "leadford_server.forwarding",
        "leadford_server.pipelines",
    )
    for part in SHARED_FOLDERS:
        found = imports_of(part)
        assert not [pair for pair in found if pair[1].startswith(programs)], part
