"""Name what a soak injects, and hold its options and its plan.

Owns the kinds of fault and the bounds that the entries are given; relies on nothing.
"""

from enum import Enum
from typing import NewType

import msgspec

EntryName = NewType("EntryName", str)
EndpointName = NewType("EndpointName", str)

STORE = "store"
EVERYTHING = "everything"
# Requests go wrong at some endpoint; the check of a single request knows which did.
MISBEHAVIOUR = "misbehaviour"


class FaultKind(Enum):
    """Name one kind of fault or of change."""

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


class UpgradeWay(Enum):
    """Say how entries of an older build give way to this one.

    ONE_BY_ONE: all start as the older build and are replaced in turn. HALF: half of
    them stay the older one. AND_BACK: all are replaced, and then put back.
    """

    ONE_BY_ONE = "one-by-one"
    HALF = "half"
    AND_BACK = "and-back"


class SoakBounds(msgspec.Struct, frozen=True):
    """Hold the bounds that the entries are given and the checks hold them to.

    Units: seconds, except that ratio and slack count requests.
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
    """Hold what a soak is asked for.

    A part of the requests, `long_part`, works for up to `long_work_s`. `only` names the
    kinds to draw, all when empty; `program` is the file that starts an entry, that of
    this checkout when empty. `older` is a commit whose build runs beside this one, none
    when empty, and `upgrade` how it gives way. Units: requests_per_s counts all callers
    together, faults_per_s injected faults, ending_per_s requests that end whoever runs
    them, and restores_per_s how often the store comes back from a copy.
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
    long_part: float = 0.15
    long_work_s: float = 1.2
    only: tuple[str, ...] = ()
    program: str = ""
    older: str = ""
    upgrade: UpgradeWay = UpgradeWay.ONE_BY_ONE
    bounds: SoakBounds = SoakBounds()


class Fault(msgspec.Struct, frozen=True):
    """Hold one fault or change: when, what, at whom, for how long, how hard.

    `target` is a number that the injector takes modulo what there is. Units: seconds.
    """

    at_s: float
    kind: FaultKind
    target: int = 0
    duration_s: float = 0.0
    amount: float = 0.0


class RepeatedRequest(msgspec.Struct, frozen=True):
    """Hold one request that comes again and again, at any entry.

    Units: seconds.
    """

    route: str
    body: bytes
    duration_s: float
    gap_s: float


class SoakPlan(msgspec.Struct, frozen=True):
    """Hold all that a soak will inject, in order of time."""

    options: SoakOptions
    faults: tuple[Fault, ...]
