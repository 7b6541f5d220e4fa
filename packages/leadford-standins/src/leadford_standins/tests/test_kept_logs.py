"""The log of a failed test is kept in a file of its own."""

import importlib.util
from pathlib import Path
from types import SimpleNamespace

ROOT = Path(__file__).parents[5]


def load_conftest():
    spec = importlib.util.spec_from_file_location("root", ROOT / "conftest.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_each_failure_is_kept_with_what_it_logged(tmp_path):
    report = SimpleNamespace(
        nodeid="packages/a/test_a.py::test_b[c/d]",
        when="call",
        longreprtext="assert 0",
        sections=[("Captured log call", "event 406")],
    )
    keep_report = load_conftest().keep_report
    first = keep_report(report, tmp_path)
    second = keep_report(report, tmp_path)
    assert first != second
    assert first.parent == second.parent == tmp_path
    for part in (report.nodeid, "assert 0", "Captured log call", "event 406"):
        assert part in first.read_text()
