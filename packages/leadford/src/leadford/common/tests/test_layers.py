"""Decision modules stay free of input, output and clocks of their own."""

import ast
from pathlib import Path

import leadford

FORBIDDEN = {
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


def imported_roots(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.split(".")[0]


def test_decision_modules_import_no_io():
    root = Path(leadford.__file__).parent
    paths = [p for p in root.rglob("*.py") if "tests" not in p.parts]
    assert len(paths) > 30
    found = [(p.name, name) for p in paths for name in imported_roots(p)]
    assert not [pair for pair in found if pair[1] in FORBIDDEN]
