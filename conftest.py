"""Make every run of the tests draw the same examples, and keep the log of a failure."""

import gc
import os

# The folder of the adapter has the name of this module, so it must be known first.
import platform  # noqa: F401
import re
from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("fixed")

# Where what a failed test printed and logged is kept: a run that is repeated must not
# lose the only trace of a failure that shows once.
FAILED_TESTS = Path(__file__).parent / "target" / "failed-tests"
_kept: list[Path] = []


def keep_report(report: pytest.TestReport, folder: Path) -> Path:
    """Write why a test failed, with all that it printed and logged, to a new file."""
    folder.mkdir(parents=True, exist_ok=True)
    name = re.sub(r"[^\w.-]+", "-", report.nodeid.rsplit("/", 1)[-1])
    number = len(list(folder.iterdir()))
    path = folder / f"{number:04}-{name}-{report.when}.txt"
    parts = [report.nodeid, report.longreprtext]
    parts += [f"--- {title} ---\n{text}" for title, text in report.sections]
    path.write_text("\n\n".join(parts))
    return path


@pytest.fixture
def no_garbage_collection():
    """Collect no garbage during a test that parses sources.

    A finalizer that runs inside `ast.parse` changes the recursion depth, which CPython
    reports as a SystemError.
    """
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def pytest_runtest_logreport(report: pytest.TestReport) -> None:
    """Keep the log of each test that fails."""
    if report.failed:
        _kept.append(keep_report(report, FAILED_TESTS))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Say where the logs of failed tests are."""
    for path in _kept:
        terminalreporter.write_line(f"log kept: {os.path.relpath(path)}")
