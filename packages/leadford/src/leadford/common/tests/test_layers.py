"""Modules that decide do no I/O and read no clock; the programs share no decisions."""

import ast
from pathlib import Path

import pytest

import leadford

pytestmark = pytest.mark.usefixtures("no_garbage_collection")

SHARED_FOLDERS = ("common", "events", "protocol", "quarantine")
FORBIDDEN_IMPORTS = {
    "asyncio",
    "absl",
    "http",
    "leadford_cli",
    "leadford_server",
    "leadford_standins",
    "os",
    "prometheus_client",
    "socket",
    "subprocess",
    "threading",
    "time",
    "tornado",
    "urllib",
    "websockets",
}


def imported_packages(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.split(".")[0]


def imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def test_the_two_programs_share_no_decisions():
    root = Path(leadford.__file__).parent
    for own, other in (("forwarding", "pipelines"), ("pipelines", "forwarding")):
        paths = sorted((root / own).rglob("*.py"))
        assert len(paths) > 15
        found = [(p.name, name) for p in paths for name in imported_modules(p)]
        assert not [p for p in found if p[1].startswith(f"leadford.{other}")]


def test_the_shared_ground_imports_neither_program():
    root = Path(leadford.__file__).parent
    paths = [p for part in SHARED_FOLDERS for p in (root / part).rglob("*.py")]
    assert len(paths) > 10
    found = [(p.name, name) for p in paths for name in imported_modules(p)]
    programs = ("leadford.forwarding", "leadford.pipelines")
    assert not [pair for pair in found if pair[1].startswith(programs)]


def test_decision_modules_import_no_io():
    root = Path(leadford.__file__).parent
    paths = [p for p in root.rglob("*.py") if "tests" not in p.parts]
    assert len(paths) > 30
    found = [(p.name, name) for p in paths for name in imported_packages(p)]
    assert not [pair for pair in found if pair[1] in FORBIDDEN_IMPORTS]
