"""Hold the parts of a running soak: entries, links, endpoints, operator, callers."""

from leadford_standins.soak.parts._callers import Callers
from leadford_standins.soak.parts._config import (
    DENIED_KEY,
    DENIED_ROUTE,
    ConfigSeen,
    ConfigWriter,
)
from leadford_standins.soak.parts._endpoints import WORK_HEADER, RunningEndpoint
from leadford_standins.soak.parts._processes import PROGRAM, EntryProcess
from leadford_standins.soak.parts._processor import ProcessorLimit
from leadford_standins.soak.parts._proxy import Direction, LinkState
from leadford_standins.soak.parts._ready import watch_ready
from leadford_standins.soak.parts._scene import SoakScene

__all__ = [
    "DENIED_KEY",
    "DENIED_ROUTE",
    "PROGRAM",
    "WORK_HEADER",
    "Callers",
    "ConfigSeen",
    "ConfigWriter",
    "Direction",
    "EntryProcess",
    "LinkState",
    "ProcessorLimit",
    "RunningEndpoint",
    "SoakScene",
    "watch_ready",
]
