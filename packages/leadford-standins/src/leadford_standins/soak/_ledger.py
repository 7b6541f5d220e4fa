"""Record what callers, the store and endpoints saw, and which faults were active.

Owns all records of a run, for the checks to read. Times are those of the event loop of
the soak.
"""

from enum import Enum

import msgspec

from leadford_standins.soak._base import EVERYTHING, FaultKind
from leadford_standins.wire import Run


class Outcome(Enum):
    """Say how a request ended for its caller."""

    OPEN = "open"
    WHOLE = "whole"
    CUT = "cut"
    LEFT = "left"
    UNSENT = "unsent"


class Sent(msgspec.Struct):
    """Hold one request as its caller saw it.

    `incarnation` counts the starts of the entry. `detail` names the error that cut the
    answer, or says that the caller gives up.
    """

    request_id: str
    route: str
    path: str
    method: str
    key: str | None
    body: bytes
    entry: str
    incarnation: int
    sent_at: float
    timeout_s: float
    asked: dict[str, str] = {}
    is_kept: bool = False
    outcome: Outcome = Outcome.OPEN
    status: int = 0
    headers: dict[str, str] = {}
    answer: bytes = b""
    ended_at: float = 0.0
    detail: str = ""
    # The request that began the stream which this one resumes, and the last event.
    resumes: str = ""
    after_event: int = 0


class Ran(msgspec.Struct, frozen=True):
    """Hold one run or arrival of a request at an endpoint."""

    request_id: str
    endpoint: str
    service: str
    at_s: float
    is_refused: bool = False


class Disturbance(msgspec.Struct):
    """Hold one active fault of an entry, an endpoint, the store or everything."""

    scope: str
    kind: FaultKind | None
    from_s: float
    until_s: float
    is_planned: bool = False


class Incarnation(msgspec.Struct):
    """Hold one process of an entry, from its start to its end.

    `is_older` says that it runs the build that this one replaces.
    """

    entry: str
    number: int
    started_at: float
    term_at: float | None = None
    ended_at: float | None = None
    status: int | None = None
    was_killed: bool = False
    is_older: bool = False


class ListedEngine(msgspec.Struct, frozen=True):
    """Hold from when an engine was listed, and with which software version."""

    endpoint: str
    software: str
    listed_at: float


class Departure(msgspec.Struct, frozen=True):
    """Hold when the store acknowledged an endpoint as draining or removed."""

    endpoint: str
    at_s: float


class Silence(msgspec.Struct, frozen=True):
    """Hold when a sound endpoint of a service sent nothing."""

    endpoint: str
    service: str
    from_s: float
    until_s: float


class ReadyAnswer(msgspec.Struct, frozen=True):
    """Hold the answer of an entry to a readiness check."""

    entry: str
    incarnation: int
    asked_at: float
    answered_at: float
    status: int


class Ledger:
    """Hold the records of one run."""

    def __init__(self) -> None:
        self.sent_by_id_: dict[str, Sent] = {}
        self.runs_by_id_: dict[str, list[Ran]] = {}
        self.arrivals_: list[Ran] = []
        self.run_records_: list[tuple[str, Run]] = []
        self.items_: list[tuple[str, dict]] = []
        self.misbehaved_by_run_: dict[tuple[str, str], str] = {}
        self.disturbances_: list[Disturbance] = []
        self.incarnations_: list[Incarnation] = []
        self.ready_answers_: list[ReadyAnswer] = []
        self.departures_: list[Departure] = []
        self.engines_: list[ListedEngine] = []
        self.silences_: list[Silence] = []
        self.injected_: list[tuple[float, str, str]] = []
        self.endpoints_: set[str] = set()
        # Bodies of requests that end every endpoint which runs them.
        self.ending_bodies_: set[bytes] = set()
        # Prompt parts that end every engine which answers them.
        self.ending_parts_: set[str] = set()
        self.errors_: list[str] = []
        self.unowned_ = 0
        self.lag_most_s_ = 0.0

    def disturb(
        self,
        scope: str,
        kind: FaultKind | None,
        from_s: float,
        until_s: float,
        *,
        is_planned: bool = False,
    ) -> Disturbance:
        """Record a fault and return its record, whose end may be corrected later."""
        disturbance = Disturbance(scope, kind, from_s, until_s, is_planned)
        self.disturbances_.append(disturbance)
        return disturbance

    def is_calm(
        self,
        scopes: tuple[str, ...],
        from_s: float,
        until_s: float,
        *,
        planned: bool = True,
        lag: bool = True,
    ) -> bool:
        """Tell whether no fault affected any of the scopes within a time.

        `planned` says whether planned stops count as faults, and `lag` whether lag of
        the soak itself does.
        """
        for fault in self.disturbances_:
            if fault.scope not in scopes and fault.scope != EVERYTHING:
                continue
            if fault.kind is None and not lag:
                continue
            if fault.is_planned and not planned:
                continue
            if fault.from_s <= until_s and fault.until_s >= from_s:
                return False
        return True

    def runs_of(self, request_id: str) -> list[Ran]:
        """Return the runs of a request."""
        return self.runs_by_id_.get(request_id, [])

    def incarnation(self, entry: str, number: int) -> Incarnation | None:
        """Return the record of one process of an entry."""
        for incarnation in self.incarnations_:
            if incarnation.entry == entry and incarnation.number == number:
                return incarnation
        return None
