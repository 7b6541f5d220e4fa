"""Define the kinds of fault of a soak, its options and its plan.

Owns the bounds that the entries are configured with and checked against.
"""

from enum import Enum
from typing import NewType

import msgspec

EntryName = NewType("EntryName", str)
EndpointName = NewType("EndpointName", str)

STORE = "store"
EVERYTHING = "everything"
# Scope of a fault that affects single requests at an endpoint; checks of a request know
# whether it was affected.
MISBEHAVIOUR = "misbehaviour"


class FaultKind(Enum):
    """Name one kind of fault or configuration change."""

    STORE_LINK_DELAYED = "store-link-delayed"
    STORE_LINK_RESET = "store-link-reset"
    STORE_LINK_CUT_TO = "store-link-cut-to"
    STORE_LINK_CUT_FROM = "store-link-cut-from"
    STORE_LINK_SILENT = "store-link-silent"
    STORE_LINK_NARROW = "store-link-narrow"
    PEER_LINK_DELAYED = "peer-link-delayed"
    PEER_LINK_RESET = "peer-link-reset"
    PEER_LINK_CUT = "peer-link-cut"
    PEER_LINK_SILENT = "peer-link-silent"
    ENDPOINT_LINK_DELAYED = "endpoint-link-delayed"
    ENDPOINT_LINK_RESET = "endpoint-link-reset"
    ENDPOINT_LINK_SILENT = "endpoint-link-silent"
    ENTRY_STOPPED = "entry-stopped"
    ENTRY_KILLED = "entry-killed"
    ENTRY_PAUSED = "entry-paused"
    ENTRY_RELOADED = "entry-reloaded"
    ENTRY_UPGRADED = "entry-upgraded"
    STORE_BUSY = "store-busy"
    STORE_DOWN = "store-down"
    STORE_SILENT = "store-silent"
    STORE_SLOW = "store-slow"
    STORE_LOSES = "store-loses"
    STORE_FORGETS = "store-forgets"
    STORE_RESTORED = "store-restored"
    ROUTE_MOVED = "route-moved"
    ROUTE_ADDED = "route-added"
    ROUTE_REMOVED = "route-removed"
    KEY_ADDED = "key-added"
    KEY_REVOKED = "key-revoked"
    MANY_ROUTES = "many-routes"
    ENDPOINT_DRAINED = "endpoint-drained"
    ENDPOINT_UNLISTED = "endpoint-unlisted"
    ENDPOINT_CRASHED = "endpoint-crashed"
    ENDPOINT_REPLACED = "endpoint-replaced"
    ENDPOINT_MISBEHAVES = "endpoint-misbehaves"
    REQUEST_ENDS_ENDPOINTS = "request-ends-endpoints"
    PART_ENDS_ENGINES = "part-ends-engines"
    CALLERS_TO_ONE_ENTRY = "callers-to-one-entry"
    ENTRY_SHORT_OF_PROCESSOR = "entry-short-of-processor"
    ANSWERS_UNFRAMED = "answers-unframed"
    ENDPOINT_SILENT = "endpoint-silent"
    ENDPOINTS_SILENT_IN_TURN = "endpoints-silent-in-turn"
    SERVICE_SILENT = "service-silent"
    ALL_ENTRIES_KILLED = "all-entries-killed"
    SOFTWARE_RELEASED = "software-released"


class UpgradeWay(Enum):
    """Say how this build replaces the older build of the entries.

    ONE_BY_ONE: all start with the older build and are replaced in turn. HALF: half of
    them keep the older build. AND_BACK: all are replaced, and then changed back.
    """

    ONE_BY_ONE = "one-by-one"
    HALF = "half"
    AND_BACK = "and-back"


class SoakBounds(msgspec.Struct, frozen=True):
    """Hold the bounds that the entries are configured with and the checks enforce.

    Units: seconds; the retry ratio and the retry slack count requests.
    """

    contact_s: float = 4.0
    drain_s: float = 3.0
    grace_s: float = 8.0
    config_s: float = 3.0
    revert_s: float = 0.25
    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_s: float = 10.0


class SoakOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the options of a soak.

    The fraction `long_part` of the requests works for up to `long_work_s`. The callers
    of the fraction `resume_part` of the streams break them off and resume them, as do
    those whose stream broke off; engines then serve in two software versions; nobody
    does if it is 0. `only` names
    the kinds to draw, all if empty; `program` is the file that starts an entry, that of
    this checkout if empty. `older` is a commit whose build runs beside this one, none
    if empty, and `upgrade` says how it is replaced. Units: requests_per_s counts the
    requests of all callers, faults_per_s injected faults, ending_per_s requests that
    end every endpoint which runs them, restores_per_s restores of the store, and
    uneven_per_s prompt parts that end engines, callers that go to one entry, and
    answers without a length, busy_per_s entries with little processor time to which
    most callers go, silent_per_s sound endpoints that send nothing for a while, and
    losses_per_s losses of all entries at once and releases of new software; then some
    callers resume their streams without naming them.
    """

    seed: int
    seconds: float = 20.0
    entries: int = 3
    endpoints: int = 3
    requests_per_s: float = 60.0
    faults_per_s: float = 0.8
    changes_per_s: float = 0.4
    ending_per_s: float = 0.0
    restores_per_s: float = 0.0
    uneven_per_s: float = 0.0
    busy_per_s: float = 0.0
    silent_per_s: float = 0.0
    losses_per_s: float = 0.0
    resume_part: float = 0.0
    long_part: float = 0.15
    long_work_s: float = 1.2
    only: tuple[str, ...] = ()
    program: str = ""
    older: str = ""
    upgrade: UpgradeWay = UpgradeWay.ONE_BY_ONE
    bounds: SoakBounds = SoakBounds()


class Fault(msgspec.Struct, frozen=True):
    """Hold one fault or change: its time, kind, target, duration and amount.

    The injector takes `target` modulo the number of candidates. Units: seconds; the
    unit of the amount depends on the kind.
    """

    at_s: float
    kind: FaultKind
    target: int = 0
    duration_s: float = 0.0
    amount: float = 0.0


class RepeatedRequest(msgspec.Struct, frozen=True):
    """Hold one request that is sent repeatedly, to random entries.

    Units: seconds.
    """

    route: str
    body: bytes
    duration_s: float
    gap_s: float


class CrashingPrompts(msgspec.Struct, frozen=True):
    """Hold a part that ends engines, and how requests with it are sent.

    Each has an id, a body and a last part of its own, and goes to a random entry.

    Units: seconds.
    """

    part: str
    duration_s: float
    gap_s: float


class SoakPlan(msgspec.Struct, frozen=True):
    """Hold the options of a soak and all its faults, in order of time."""

    options: SoakOptions
    faults: tuple[Fault, ...]
