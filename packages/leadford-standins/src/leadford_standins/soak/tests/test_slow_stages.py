"""Streams with three slow stages in a row are served while the stages keep up."""

from typing import NamedTuple

import pytest

from leadford_standins.soak.tests.test_busy_entries import (
    CONTACT_S,
    BusyFleet,
    End,
    run,
)
from leadford_standins.wire import HOST, KEY, StageStandIn

ENTRIES = 3
# The stop between two runs of a process that gives it four fifths of a core.
STOP_S = 0.0015
DOWN_S = 2.0
# Time for which callers are spread, and for which each entry gets most of them.
TURN_S = 6.0
# Streams a second, for which the busiest stages need less than two thirds of their
# time.
PER_S = 40
CALL_S = 0.2
# Fraction of each kind that is to be served at the first attempt that was read.
MIN_SERVED_FRACTION = 0.95


class SlowStage(NamedTuple):
    """Describe the endpoints of one service of stages."""

    service: str
    endpoints: int
    batch: int
    item_s: float


SLOW_STAGES = (
    SlowStage("first", 4, 8, 0.021),
    SlowStage("second", 5, 24, 0.0071),
    SlowStage("third", 5, 40, 0.0043),
)


class Kind(NamedTuple):
    """Describe one kind of stream: its target, and the pieces that it needs."""

    weight: float
    aim_s: float
    timeout_s: float
    priority: int
    max_attempts: int
    # The service and the earlier stages of each stage.
    stages: tuple[tuple[str, tuple[int, ...]], ...]
    # A request uses each stage with a probability, for 1 to the most pieces.
    max_pieces: tuple[int, ...]
    use_probabilities: tuple[float, ...]


KINDS = {
    "digest": Kind(24.1, 1.1, 6.0, 0, 2, (("first", ()),), (3,), (0.7,)),
    "classify": Kind(
        29.4,
        2.3,
        6.0,
        1,
        1,
        (("first", ()), ("second", (0,)), ("third", (1,))),
        (1, 11, 19),
        (1.0, 1.0, 1.0),
    ),
    "notes": Kind(
        27.2,
        2.5,
        20.0,
        2,
        2,
        (("first", ()), ("first", ()), ("second", (1,)), ("third", (2,))),
        (2, 1, 11, 19),
        (0.4, 1.0, 1.0, 1.0),
    ),
}


class SlowStagesFleet(BusyFleet):
    """Have three services of stages whose calls take 0.2 s and more."""

    deadline_s = 6.0
    # Streams may do without their only stage.
    requires_inputs = False

    def _make_stages(self, halls):
        stages = []
        for slow in SLOW_STAGES:
            for number in range(slow.endpoints):
                stages.append(
                    StageStandIn(
                        service=slow.service,
                        hall=halls[number % len(halls)],
                        call_s=CALL_S,
                        item_s=slow.item_s,
                        result_holders=stages,
                    )
                )
        return stages

    def _config(self):
        config = super()._config()
        template = next(s for s in config["services"] if "pieces" in s)
        config["services"] = [
            service for service in config["services"] if "pieces" not in service
        ]
        for slow in SLOW_STAGES:
            pieces = template["pieces"] | {
                "batch": slow.batch,
                "callMs": CALL_S * 1_000.0,
                "itemMs": slow.item_s * 1_000.0,
            }
            config["services"].append(
                template | {"name": slow.service, "pieces": pieces}
            )
        known = next(r for r in config["routes"] if r["name"] == "resumed")
        config["routes"] = [
            known
            | {
                "name": name,
                "pathPrefix": f"/{name}/",
                "timeoutMs": round(kind.timeout_s * 1_000),
                "goalMs": round(kind.aim_s * 1_000),
                "maxAttempts": kind.max_attempts,
                "priority": kind.priority,
                "resumable": kind.max_attempts > 1,
                "stages": [
                    {"service": service, "afterRev": list(after), "sizeBytes": 6_000}
                    for service, after in kind.stages
                ],
            }
            for name, kind in KINDS.items()
        ]
        return config

    def _choose_route(self):
        weights = [kind.weight for kind in KINDS.values()]
        return self.random.choices(list(KINDS), weights)[0]

    def _head(self, attempt):
        kind = KINDS[attempt.route]
        counts = [
            self.random.randint(1, most) if self.random.random() < used else 0
            for most, used in zip(kind.max_pieces, kind.use_probabilities, strict=True)
        ]
        return {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            "X-Attempt-Id": f"r{self.count_}",
            "X-Deadline-Ms": str(round(kind.timeout_s * 1_000)),
            "X-Pieces": ",".join(map(str, counts)),
            "X-Piece-Key": f"pk-{self.count_}",
            "X-Model": "m",
            "X-Token-Counts": "100,10",
            "X-Prefix-Hash": f"aa:50,p{self.count_ % 50}:20",
            "Content-Length": "7",
        }

    def served_by_kind(self, since):
        """Return how many attempts of each kind were served, and how many were read."""
        found = {}
        for name in KINDS:
            ends = [
                attempt.end
                for attempt in self.tries_
                if attempt.route == name
                and attempt.sent_at >= since
                and attempt.end is not End.UNREAD
            ]
            found[name] = (ends.count(End.SERVED), len(ends))
        return found


@pytest.mark.parametrize("is_lost", [False, True], ids=["none-lost", "all-lost"])
def test_first_tries_are_refused_while_slow_stages_keep_up(tmp_path, is_lost):
    # Pieces still on their way to the last stage counted as if they waited there.
    async def scenario(fleet):
        calm_at = await fleet.send_for(TURN_S, PER_S, fleet.evenly)
        served_by_turn = {"calm": fleet.served_by_kind(calm_at)}
        if is_lost:
            await fleet.restart_all(DOWN_S)
        for entry in range(ENTRIES):
            busy_at = await fleet.send_for(TURN_S, PER_S, fleet.mostly(entry))
            since = busy_at + (CONTACT_S if entry == 0 else 0.0)
            served_by_turn[f"entry {entry}"] = fleet.served_by_kind(since)
        for turn, served_by_kind in served_by_turn.items():
            for kind, (served, sent) in served_by_kind.items():
                described = (turn, kind, served_by_turn)
                assert served >= MIN_SERVED_FRACTION * sent, described

    run(
        scenario,
        tmp_path,
        fleet_type=SlowStagesFleet,
        entries=ENTRIES,
        stop_s=STOP_S,
    )
