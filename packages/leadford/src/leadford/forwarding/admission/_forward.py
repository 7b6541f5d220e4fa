"""Admit a forwarded request if it is expected to be answered within its aim."""

from collections import OrderedDict
from enum import Enum
from random import Random

import msgspec

from leadford.common import Ewma
from leadford.forwarding.batching import CommitmentTable
from leadford.forwarding.routes import PieceLimits, Route, RouteId, ServiceId

LATER_PART = 0.1
SPARE_PART = 0.75
SPARE_PART_URGENT = 0.9
SPARE_PART_STEP = 0.1
RETURN_PART = 0.55
RETRY_MIN_S = 0.25
JITTER = 0.15
REFUSED_KEPT = 400
REFUSED_FRESH_S = 12.0
DEADLINE_PART = 0.85
RETURN_AIMS = 1.0
ENGINE_READ_S = 0.2
READ_CALLS = 1.5
RETURN_GRACE_S = 0.6
PROMISED_PART = 0.4
BIAS_PART = 0.6
BIAS_WEIGHT = 0.15


class Verdict(Enum):
    """Say whether a request is let in."""

    ADMIT = "admit"
    REFUSE = "refuse"


class AdmissionDecision(msgspec.Struct, frozen=True):
    """Hold a verdict, the expected time of the answer, and when to come back.

    Units: expected_s counts from the caller's sending.
    """

    verdict: Verdict
    expected_s: float
    retry_after_s: float = 0.0
    is_return: bool = False


class StageCapacity(msgspec.Struct, frozen=True):
    """Hold the endpoints that a batched stage can use."""

    limits: PieceLimits
    endpoints: int

    def backlog_s(self, pieces: float, result_bytes: int, held_s: float) -> float:
        """Return how long all endpoints together need for so many pieces.

        Time binds them or room: each result is held for a while.
        """
        if self.endpoints == 0:
            return float("inf")
        piece_s = self.call_s / self.limits.batch
        if self.limits.room_bytes > 0:
            piece_s = max(piece_s, result_bytes * held_s / self.limits.room_bytes)
        return pieces * piece_s / self.endpoints

    @property
    def call_s(self) -> float:
        """Return the time of a full call."""
        return self.limits.full_call_s


class Promise(msgspec.Struct, frozen=True):
    """Hold a refused request that was told when to come back.

    Units: return_at in seconds of the monotonic clock.
    """

    fingerprint: str
    return_at: float
    is_urgent: bool
    pieces_by_service: dict[ServiceId, int]


class RefusedMemory:
    """Remember who was told to come back when, here and at other entries.

    A request that returns is let in if it can still be served at all, and the work
    of those that are yet to return stands before that of newcomers.
    """

    def __init__(self) -> None:
        self.promises_by_print_: OrderedDict[str, Promise] = OrderedDict()
        self.unsent_: list[Promise] = []

    def note(self, promise: Promise, *, is_own: bool) -> None:
        """Take in a refusal."""
        self.promises_by_print_[promise.fingerprint] = promise
        self.promises_by_print_.move_to_end(promise.fingerprint)
        while len(self.promises_by_print_) > REFUSED_KEPT:
            self.promises_by_print_.popitem(last=False)
        if is_own:
            self.unsent_.append(promise)

    def take_unsent(self) -> list[Promise]:
        """Return the refusals that other entries have not been told of."""
        unsent = self.unsent_
        self.unsent_ = []
        return unsent

    def is_return(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request was refused a short while ago."""
        promise = self.promises_by_print_.get(fingerprint)
        return promise is not None and now - promise.return_at < REFUSED_FRESH_S

    def pieces_promised(
        self, service_id: ServiceId, is_urgent: bool, now: float
    ) -> int:
        """Return how many pieces will come back that go before those of a request."""
        return sum(
            promise.pieces_by_service.get(service_id, 0)
            for promise in self.promises_by_print_.values()
            if now - promise.return_at < RETURN_GRACE_S
            and promise.is_urgent >= is_urgent
        )

    def note_returned(self, fingerprint: str, now: float) -> None:
        """Take in that a request has come back; it is remembered as one that did."""
        promise = self.promises_by_print_.get(fingerprint)
        if promise is not None:
            done = msgspec.structs.replace(
                promise, return_at=min(promise.return_at, now - RETURN_GRACE_S)
            )
            self.promises_by_print_[fingerprint] = done


class ForwardAdmission:
    """Decide over requests with stages by the stage that is the furthest behind."""

    def __init__(
        self, *, commitments: CommitmentTable, memory: RefusedMemory, random: Random
    ) -> None:
        self.commitments = commitments
        self.memory = memory
        self.random = random
        self.bias_by_route_: dict[RouteId, Ewma] = {}

    def decide(
        self,
        route: Route,
        counts: tuple[int, ...],
        capacity_by_service: dict[ServiceId, StageCapacity],
        *,
        priority: int,
        fingerprint: str,
        engine_s: float,
        elapsed_s: float,
        allowed_s: float,
        now: float,
    ) -> AdmissionDecision:
        """Return the verdict; nothing has been sent for the request yet."""
        memory = self.memory
        is_return = memory.is_return(fingerprint, now)
        if is_return:
            memory.note_returned(fingerprint, now)
        path_s = self._path_s(route, counts, capacity_by_service)
        backlog_s, promised_s = self._backlog_s(route, counts, capacity_by_service, now)
        bias_s = self._bias(route).value_
        expected_s = elapsed_s + path_s + backlog_s + engine_s + bias_s
        aim_s = route.aim_ms / 1_000.0 if route.aim_ms > 0 else allowed_s
        if is_return:
            # It already waited as it was told; only hopeless ones are sent away.
            limit_s = min(DEADLINE_PART * allowed_s, RETURN_AIMS * aim_s)
        else:
            expected_s += promised_s * PROMISED_PART
            # What the path itself takes is not to spare; a backlog may take a part of
            # the rest, the larger the more urgent the request.
            least_s = elapsed_s + path_s + engine_s
            part = max(SPARE_PART, SPARE_PART_URGENT - SPARE_PART_STEP * priority)
            limit_s = least_s + part * max(0.0, aim_s - least_s)
            limit_s = min(limit_s, DEADLINE_PART * allowed_s)
        if expected_s <= limit_s:
            return AdmissionDecision(Verdict.ADMIT, expected_s, is_return=is_return)
        wait_s = backlog_s + promised_s - RETURN_PART * (aim_s - path_s - engine_s)
        wait_s = max(RETRY_MIN_S, wait_s) * self.random.uniform(1.0, 1.0 + JITTER)
        wait_s = min(wait_s, max(RETRY_MIN_S, (allowed_s - elapsed_s) / 3.0))
        promise = Promise(
            fingerprint,
            now + wait_s,
            route.is_urgent,
            _pieces_by_service(route, counts),
        )
        memory.note(promise, is_own=True)
        return AdmissionDecision(Verdict.REFUSE, expected_s, wait_s, is_return)

    def note_answered(self, route: Route, expected_s: float, actual_s: float) -> None:
        """Learn from the time that a request took against what was expected."""
        bias = self._bias(route)
        error_s = actual_s - (expected_s - bias.value_)
        aim_s = route.aim_ms / 1_000.0
        bias.update(min(max(error_s, 0.0), BIAS_PART * aim_s))

    def _bias(self, route: Route) -> Ewma:
        bias = self.bias_by_route_.get(route.route_id)
        if bias is None:
            bias = self.bias_by_route_[route.route_id] = Ewma(
                initial=0.0, weight=BIAS_WEIGHT
            )
        return bias

    def _path_s(
        self,
        route: Route,
        counts: tuple[int, ...],
        capacity_by_service: dict[ServiceId, StageCapacity],
    ) -> float:
        """Return how long the stages take on their longest path, without a backlog."""
        done_s: list[float] = []
        for stage, count in zip(route.stages, counts, strict=True):
            start_s = max((done_s[before] for before in stage.after), default=0.0)
            capacity = capacity_by_service.get(stage.service_id)
            if count == 0 or capacity is None:
                done_s.append(start_s)
                continue
            limits = capacity.limits
            rounds = -(-count // (limits.batch * max(1, capacity.endpoints)))
            call_s = limits.duration_ms(min(count, limits.batch)) / 1_000.0
            done_s.append(start_s + rounds * call_s)
        return max(done_s, default=0.0)

    def _backlog_s(
        self,
        route: Route,
        counts: tuple[int, ...],
        capacity_by_service: dict[ServiceId, StageCapacity],
        now: float,
    ) -> tuple[float, float]:
        """Return the backlog of the stage that is the furthest behind.

        The second part is what will be added by those who were told to come back.
        """
        worst_s = 0.0
        promised_s = 0.0
        for number, stage in enumerate(route.stages):
            count = counts[number]
            if count == 0:
                continue
            capacity = capacity_by_service.get(stage.service_id)
            if capacity is None:
                return float("inf"), 0.0
            pieces = self.commitments.pieces_before(
                stage.service_id, route.is_urgent, later_part=LATER_PART, now=now
            )
            held_s = capacity.call_s + self._read_s(
                number, route, counts, capacity_by_service
            )
            backlog_s = capacity.backlog_s(pieces, stage.result_bytes, held_s)
            worst_s = max(worst_s, backlog_s)
            promised = self.memory.pieces_promised(
                stage.service_id, route.is_urgent, now
            )
            promised_s = max(
                promised_s, capacity.backlog_s(promised, stage.result_bytes, held_s)
            )
        return worst_s, promised_s

    def _read_s(
        self,
        number: int,
        route: Route,
        counts: tuple[int, ...],
        capacity_by_service: dict[ServiceId, StageCapacity],
    ) -> float:
        """Return how long results wait for their readers and are read by them."""
        longest_s = ENGINE_READ_S
        for later, count in zip(route.stages, counts, strict=True):
            capacity = capacity_by_service.get(later.service_id)
            if number in later.after and count > 0 and capacity is not None:
                longest_s = max(longest_s, READ_CALLS * capacity.call_s)
        return longest_s


def _pieces_by_service(route: Route, counts: tuple[int, ...]) -> dict[ServiceId, int]:
    pieces: dict[ServiceId, int] = {}
    for stage, count in zip(route.stages, counts, strict=True):
        pieces[stage.service_id] = pieces.get(stage.service_id, 0) + count
    return pieces
