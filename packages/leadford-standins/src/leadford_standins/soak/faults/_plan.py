"""Draw the plan of a soak from its seed.

Faults come alone, in series at successive targets, and overlapping; changes of the
configuration come beside them. Owns the table of how long and how hard each kind is;
relies on the random source that it is given.
"""

from random import Random

import msgspec

from leadford_standins.soak._base import Fault, FaultKind, SoakOptions, SoakPlan
from leadford_standins.soak.faults._upgrades import upgrade_steps

# Parts of the faults that begin a series, and how many follow in it; choices.
SERIES_PART = 0.25
SERIES_MORE = (1, 3)
# Seconds between the faults of a series; choices.
SERIES_GAP_S = (0.1, 2.5)
# Seconds at the start and at the end of a run in which nothing is begun: entries learn
# their peers, and stops that began can end within the grace period.
QUIET_START_S = 3.0
QUIET_END_S = 2.0


class Span(msgspec.Struct, frozen=True):
    """Say how often a kind is drawn, for how long and how hard.

    Units: seconds; the amount is that of the kind (seconds, bytes a second, requests).
    """

    weight: float
    duration_s: tuple[float, float] = (0.0, 0.0)
    amount: tuple[float, float] = (0.0, 0.0)


K = FaultKind
# Choices of the soak: what the users ask for most comes most.
FAULT_SPANS: dict[FaultKind, Span] = {
    K.STORE_LINK_DELAYED: Span(2, (1, 6), (0.02, 0.8)),
    K.STORE_LINK_RESET: Span(2),
    K.STORE_LINK_CUT_TO: Span(1, (0.5, 5)),
    K.STORE_LINK_CUT_FROM: Span(1, (0.5, 5)),
    K.STORE_LINK_SILENT: Span(1, (0.5, 6)),
    K.STORE_LINK_NARROW: Span(2, (2, 8), (60_000, 1_250_000)),
    K.PEER_LINK_DELAYED: Span(1, (1, 5), (0.02, 0.5)),
    K.PEER_LINK_RESET: Span(2),
    K.PEER_LINK_CUT: Span(1, (0.5, 4)),
    K.PEER_LINK_SILENT: Span(1, (0.5, 4)),
    K.ENDPOINT_LINK_DELAYED: Span(1, (0.5, 4), (0.01, 0.3)),
    K.ENDPOINT_LINK_RESET: Span(2),
    K.ENDPOINT_LINK_SILENT: Span(1, (0.5, 3)),
    K.ENTRY_STOPPED: Span(6, (0.2, 2)),
    K.ENTRY_KILLED: Span(2, (0.2, 2)),
    K.ENTRY_PAUSED: Span(2, (0.2, 3)),
    K.ENTRY_RELOADED: Span(1),
    K.STORE_BUSY: Span(1, (0.5, 5)),
    K.STORE_DOWN: Span(1, (0.5, 6)),
    K.STORE_SILENT: Span(1, (0.5, 6)),
    K.STORE_SLOW: Span(1, (1, 6), (0.1, 1.5)),
    K.STORE_LOSES: Span(1, (0.3, 2)),
    K.STORE_FORGETS: Span(1),
    K.ENDPOINT_DRAINED: Span(2, (0.3, 4)),
    K.ENDPOINT_UNLISTED: Span(1, (0.3, 4)),
    K.ENDPOINT_CRASHED: Span(2, (0.5, 3)),
    K.ENDPOINT_REPLACED: Span(1, (2, 3)),
    K.ENDPOINT_MISBEHAVES: Span(4, (0, 0), (1, 6)),
}
CHANGE_SPANS: dict[FaultKind, Span] = {
    K.ROUTE_MOVED: Span(4),
    K.ROUTE_ADDED: Span(4),
    K.ROUTE_REMOVED: Span(2),
    K.KEY_ADDED: Span(2),
    K.KEY_REVOKED: Span(1),
    K.MANY_ROUTES: Span(0.5, (0, 0), (100, 1_400)),
}
# The amount is the time between two copies of such a request.
ENDING_SPANS: dict[FaultKind, Span] = {
    K.REQUEST_ENDS_ENDPOINTS: Span(1, (9, 15), (0.15, 0.6)),
}
# The amount is how old the copy is; the store is away for the duration.
RESTORE_SPANS: dict[FaultKind, Span] = {
    K.STORE_RESTORED: Span(1, (0.1, 3), (0.5, 6)),
}
# A target is drawn below this, and taken modulo what there is.
TARGETS = 10_000


def draw_plan(options: SoakOptions, random: Random) -> SoakPlan:
    """Return the faults and changes of a run; the same for the same random source."""
    faults = [
        *_draw(FAULT_SPANS, options.faults_per_s, options, random),
        *_draw(CHANGE_SPANS, options.changes_per_s, options, random),
        # Last, so that the seeds of runs without these mean what they did.
        *_draw(ENDING_SPANS, options.ending_per_s, options, random),
        *_draw(RESTORE_SPANS, options.restores_per_s, options, random),
        *upgrade_steps(options),
    ]
    faults.sort(key=lambda fault: fault.at_s)
    return SoakPlan(options, tuple(faults))


def _draw(
    spans: dict[FaultKind, Span],
    per_s: float,
    options: SoakOptions,
    random: Random,
) -> list[Fault]:
    kinds = [kind for kind in spans if not options.only or kind.value in options.only]
    if not kinds or per_s <= 0.0:
        return []
    weights = [spans[kind].weight for kind in kinds]
    drawn: list[Fault] = []
    at_s = QUIET_START_S
    until_s = options.seconds - QUIET_END_S
    while True:
        at_s += random.expovariate(per_s)
        if at_s >= until_s:
            return drawn
        kind = random.choices(kinds, weights)[0]
        target = random.randrange(TARGETS)
        drawn.append(_fault(at_s, kind, target, spans[kind], random))
        if random.random() >= SERIES_PART:
            continue
        drawn += _series(drawn[-1], spans[kind], until_s, random)


def _series(first: Fault, span: Span, until_s: float, random: Random) -> list[Fault]:
    """Return more faults of the kind, at the next targets, that overlap the first."""
    more: list[Fault] = []
    at_s = first.at_s
    for number in range(random.randint(*SERIES_MORE)):
        at_s += random.uniform(*SERIES_GAP_S)
        if at_s >= until_s:
            break
        target = first.target + number + 1
        more.append(_fault(at_s, first.kind, target, span, random))
    return more


def _fault(
    at_s: float, kind: FaultKind, target: int, span: Span, random: Random
) -> Fault:
    duration_s = random.uniform(*span.duration_s)
    amount = random.uniform(*span.amount)
    return Fault(round(at_s, 3), kind, target, round(duration_s, 3), round(amount, 3))
