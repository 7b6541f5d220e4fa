"""Replay recorded traces against running processes and check the outcomes."""

from leadford_cli.replay._check import Violations, find_violations
from leadford_cli.replay._generate import (
    RequestKind,
    make_trace,
    trace_generators,
)
from leadford_cli.replay._report import OutcomeBounds, Report, check_outcomes
from leadford_cli.replay._runner import Replay
from leadford_cli.replay._trace import (
    Trace,
    TraceFault,
    TraceRequest,
    read_trace,
    write_trace,
)

__all__ = [
    "OutcomeBounds",
    "Replay",
    "RequestKind",
    "Report",
    "Trace",
    "TraceFault",
    "TraceRequest",
    "Violations",
    "check_outcomes",
    "find_violations",
    "make_trace",
    "read_trace",
    "trace_generators",
    "write_trace",
]
