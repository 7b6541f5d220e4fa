"""Read and write traces: one JSON object a line, a header first.

The files in `traces/` have this form, and `leadford replay` takes any other.
"""

import json
from pathlib import Path
from random import Random

import msgspec
from returns.result import Failure, Result, Success

# Maximum size of a line.
LINE_BYTES_MAX = 64 * 1024
WORDS = ("rook", "file", "open", "plan", "king", "side", "pawn", "chain", "tempo")


class TraceRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Describe one recorded request.

    Units: at_s counts from the start of the trace.
    """

    at_s: float
    id: str
    pipeline: str
    workspace: str
    prompt: str
    deadline_ms: float
    repeatable: bool = True
    key: str = ""
    stream: bool = False
    system_id: int = 0
    system_words: int = 0

    def body(self) -> bytes:
        """Return the body that the caller sends."""
        document = {"prompt": self.prompt}
        if self.system_words:
            words = Random(self.system_id).choices(WORDS, k=self.system_words)
            document["system"] = " ".join(words)
        return json.dumps(document).encode()


class TraceFault(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Describe a fault: an action on a named process or stand-in.

    `kill`, `freeze` and `thaw` act on processes; `set` puts faults in force at a
    stand-in; `drain` asks a process to stop as planned.
    """

    at_s: float
    target: str
    action: str
    faults: dict[str, float | int | bool] = {}


class Trace(msgspec.Struct, kw_only=True):
    """Hold a whole trace."""

    name: str
    deployment: str
    seed: int
    requests: list[TraceRequest]
    faults: list[TraceFault] = []


class _Header(msgspec.Struct):
    name: str
    deployment: str
    seed: int = 0


ACTIONS = ("kill", "freeze", "thaw", "set", "drain")


def read_trace(path: Path) -> Result[Trace, tuple[str, ...]]:
    """Return the trace in a file.

    Errors: every line that is malformed, with its number.
    """
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        return Failure((str(error),))
    if not lines:
        return Failure((f"{path}: empty file where a header was expected",))
    faults: list[str] = []
    try:
        header = msgspec.json.decode(lines[0], type=_Header)
    except msgspec.MsgspecError as error:
        return Failure((f"{path}:1: header: {error}",))
    trace = Trace(
        name=header.name, deployment=header.deployment, seed=header.seed, requests=[]
    )
    for number, line in enumerate(lines[1:], start=2):
        error = _read_line(line, trace)
        if error:
            faults.append(f"{path}:{number}: {error}")
    return Failure(tuple(faults)) if faults else Success(trace)


def _read_line(line: bytes, trace: Trace) -> str:
    if len(line) > LINE_BYTES_MAX:
        return f"line is longer than {LINE_BYTES_MAX} bytes"
    try:
        raw = msgspec.json.decode(line, type=dict[str, msgspec.Raw])
        if "action" in raw:
            fault = msgspec.json.decode(line, type=TraceFault)
            if fault.action not in ACTIONS:
                return f"action must be one of: {', '.join(ACTIONS)}"
            trace.faults.append(fault)
            return ""
        trace.requests.append(msgspec.json.decode(line, type=TraceRequest))
    except msgspec.MsgspecError as error:
        return str(error)
    return ""


def write_trace(trace: Trace, path: Path) -> None:
    """Write a trace to a file."""
    header = _Header(trace.name, trace.deployment, trace.seed)
    events = sorted([*trace.requests, *trace.faults], key=lambda event: event.at_s)
    lines = [msgspec.json.encode(part) for part in (header, *events)]
    path.write_bytes(b"\n".join(lines) + b"\n")
