"""Draw the plan of a soak from its seed.

Faults are single, in series at successive targets, and overlapping; configuration
changes are drawn independently of them. Owns the tables of the weight, duration and
amount of each kind; all randomness comes from the random source that is passed in.
"""

from random import Random

import msgspec

from leadford_standins.soak._base import Fault, FaultKind, SoakOptions, SoakPlan
from leadford_standins.soak.faults._upgrades import upgrade_steps

# Fraction of the faults that begin a series, and the least and greatest number of
# faults that follow in it.
SERIES_FRACTION = 0.25
SERIES_FOLLOWING_COUNTS = (1, 3)
# Least and greatest time between two faults of a series.
SERIES_GAP_S = (0.1, 2.5)
# No fault begins at the start of a run, while entries learn their peers, nor at its
# end, so that stops under way can end within the grace period.
QUIET_START_S = 3.0
QUIET_END_S = 2.0


class Span(msgspec.Struct, frozen=True):
    """Hold the weight of a kind in the draw, and the ranges of duration and amount.

    Units: seconds; the unit of the amount depends on the kind (seconds, bytes per
    second, requests).
    """

    weight: float
    duration_s: tuple[float, float] = (0.0, 0.0)
    amount: tuple[float, float] = (0.0, 0.0)


K = FaultKind
# What the users ask for most has the greatest weight.
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
# The amount is the time between two copies of the request.
ENDING_SPANS: dict[FaultKind, Span] = {
    K.REQUEST_ENDS_ENDPOINTS: Span(1, (9, 15), (0.15, 0.6)),
}
# The amount is the age of the copy; the store is unavailable for the duration.
RESTORE_SPANS: dict[FaultKind, Span] = {
    K.STORE_RESTORED: Span(1, (0.1, 3), (0.5, 6)),
}
# The amount is the time between two requests with the part, the fraction of the
# requests that go to one entry, or the number of answers.
UNEVEN_SPANS: dict[FaultKind, Span] = {
    K.PART_ENDS_ENGINES: Span(1, (12, 18), (0.2, 0.6)),
    K.CALLERS_TO_ONE_ENTRY: Span(1, (4, 10), (0.7, 0.95)),
    K.ANSWERS_UNFRAMED: Span(1, (0, 0), (2, 8)),
}
# The amount is the fraction of the requests that go to the entry.
BUSY_SPANS: dict[FaultKind, Span] = {
    K.ENTRY_SHORT_OF_PROCESSOR: Span(1, (3, 8), (0.0, 0.95)),
}
# The amount is the number of endpoints that are silent one after the other.
SILENT_SPANS: dict[FaultKind, Span] = {
    K.ENDPOINT_SILENT: Span(2, (0.8, 1.5)),
    K.ENDPOINTS_SILENT_IN_TURN: Span(1, (0.8, 1.5), (2, 4)),
    K.SERVICE_SILENT: Span(1, (0.8, 1.5)),
}
LOSS_SPANS: dict[FaultKind, Span] = {
    K.ALL_ENTRIES_KILLED: Span(2, (0.1, 1.5)),
    K.SOFTWARE_RELEASED: Span(1, (0, 2)),
}
# Targets are drawn below this; injectors take them modulo the number of candidates.
TARGET_LIMIT = 10_000


def draw_plan(options: SoakOptions, random: Random) -> SoakPlan:
    """Return the faults and changes of a run, which the random source determines."""
    faults = [
        *_draw_faults(FAULT_SPANS, options.faults_per_s, options, random),
        *_draw_faults(CHANGE_SPANS, options.changes_per_s, options, random),
        # Drawn last, so that a seed gives the same plan in runs without these.
        *_draw_faults(ENDING_SPANS, options.ending_per_s, options, random),
        *_draw_faults(RESTORE_SPANS, options.restores_per_s, options, random),
        *_draw_faults(UNEVEN_SPANS, options.uneven_per_s, options, random),
        *_draw_faults(BUSY_SPANS, options.busy_per_s, options, random),
        *_draw_faults(SILENT_SPANS, options.silent_per_s, options, random),
        *_draw_faults(LOSS_SPANS, options.losses_per_s, options, random),
        *upgrade_steps(options),
    ]
    faults.sort(key=lambda fault: fault.at_s)
    return SoakPlan(options, tuple(faults))


def _draw_faults(
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
        target = random.randrange(TARGET_LIMIT)
        drawn.append(_draw_fault(at_s, kind, target, spans[kind], random))
        if random.random() >= SERIES_FRACTION:
            continue
        drawn += _draw_series(drawn[-1], spans[kind], until_s, random)


def _draw_series(
    first: Fault, span: Span, until_s: float, random: Random
) -> list[Fault]:
    """Return later faults of the kind at the next targets; they may overlap."""
    following: list[Fault] = []
    at_s = first.at_s
    for number in range(random.randint(*SERIES_FOLLOWING_COUNTS)):
        at_s += random.uniform(*SERIES_GAP_S)
        if at_s >= until_s:
            break
        target = first.target + number + 1
        following.append(_draw_fault(at_s, first.kind, target, span, random))
    return following


def _draw_fault(
    at_s: float, kind: FaultKind, target: int, span: Span, random: Random
) -> Fault:
    duration_s = random.uniform(*span.duration_s)
    amount = random.uniform(*span.amount)
    return Fault(round(at_s, 3), kind, target, round(duration_s, 3), round(amount, 3))
