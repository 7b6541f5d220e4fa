"""Replay arrivals at the groups of a chain of stages through the rule of next calls."""

import heapq
import itertools
from random import Random

import msgspec

from leadford.common import EndpointId, HallId, RequestId
from leadford.forwarding.batching import (
    CapacityTable,
    FillAction,
    PieceKey,
    PieceQueue,
    next_call,
)
from leadford.forwarding.batching.tests.conftest import piece_task
from leadford.forwarding.routes import ResultHandle
from leadford_standins.records import endpoint_record

TARGET_S = 1.8
RECHECK_S = 0.04


class Arrival(msgspec.Struct):
    """Hold one request: its pieces at each stage, and the hall of its inputs."""

    at: float
    counts: tuple[int, ...]
    hall: str = "h0"


def draw_arrivals(per_s, counts, *, seconds, seed, halls=("h0",)):
    """Draw requests that arrive in clumps of one to five; `per_s` maps time to rate."""
    random = Random(seed)
    found, at = [], 0.0
    while at < seconds:
        clump = random.randint(1, 5)
        at += random.expovariate(per_s(at) / 3.0)
        hall = halls[int(at * 4.0 / seconds) % len(halls)]
        drawn = [tuple(random.randint(low, high) for low, high in counts)]
        found += [Arrival(at, drawn[0], hall)] * clump
    return found


class Replay:
    """Run the stages of requests; calls take exactly as long as expected.

    Pieces of a call that is lost with its endpoint are made again, as suspects. With
    `shares_calls`, they may share calls after one crash.
    """

    def __init__(
        self, stages, *, result_bytes=1, hold_s=0.0, halls=("h0",), shares_calls=False
    ):
        self.stages = stages
        self.shares_calls = shares_calls
        self.result_bytes = result_bytes
        self.hold_s = hold_s
        self.queues = [PieceQueue() for _ in stages]
        self.capacities = CapacityTable()
        self.records = [
            [
                endpoint_record(f"s{stage}e{n}", hall=halls[n % len(halls)])
                for n in range(endpoints)
            ]
            for stage, (_, endpoints) in enumerate(stages)
        ]
        self.calls = []
        self.done_at = {}
        self.left = {}
        self.events = []
        self.lost = set()
        self.suspects = set()
        self.checks = set()
        self.order = itertools.count()

    def at(self, moment, action, *arguments):
        heapq.heappush(self.events, (moment, next(self.order), action, arguments))

    def run(self, arrivals, *, lost_at=None, lost=0):
        """Return the calls: when sent, stage, pieces, and what was left waiting."""
        for number, arrival in enumerate(arrivals):
            request = RequestId(f"r{number:05}")
            self.at(arrival.at, self.queue, request, arrival, 0)
        if lost_at is not None:
            self.at(lost_at, self.lose, lost)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)
        return self.calls

    def lose(self, now, count):
        for records in self.records:
            self.lost |= {record.listed.endpoint_id for record in records[:count]}
            del records[:count]
        # Every second request ran elsewhere when another endpoint was lost.
        self.suspects |= set(list(self.left)[::2])

    def queue(self, now, request, arrival, stage, pieces=None):
        later_s = sum(limits.full_call_s for limits, _ in self.stages[stage + 1 :])
        due_at = arrival.at + TARGET_S - later_s
        if pieces is None:
            pieces = range(arrival.counts[stage])
            self.left[request] = arrival.counts[stage]
        is_suspect = request in self.suspects
        for piece in pieces:
            self.queues[stage].push(
                piece_task(
                    request_id=request,
                    key=PieceKey(stage, piece),
                    due_at=due_at,
                    rank_at=due_at,
                    queued_at=now,
                    deadline=arrival.at + 6.0,
                    result_bytes=self.result_bytes,
                    local_bytes_by_hall={HallId(arrival.hall): 60_000},
                    inputs=(arrival,),
                    is_suspect=is_suspect,
                    is_suspect_once=is_suspect and self.shares_calls,
                )
            )
        self.at(now, self.dispatch, stage)

    def check(self, moment, stage):
        if (moment, stage) not in self.checks and not any(
            at <= moment and number == stage for at, number in self.checks
        ):
            self.checks.add((moment, stage))
            self.at(moment, self.check_now, moment, stage)

    def check_now(self, now, moment, stage):
        self.checks.discard((moment, stage))
        self.dispatch(now, stage)

    def dispatch(self, now, stage):
        limits, _ = self.stages[stage]
        while True:
            step = next_call(
                self.queues[stage],
                self.capacities,
                self.records[stage],
                limits,
                now,
            )
            if step.action is FillAction.WAIT_FOR_MORE:
                self.check(now + step.wait_s + 0.001, stage)
            elif step.action is FillAction.RECHECK:
                self.check(now + RECHECK_S, stage)
            if step.action is not FillAction.SEND:
                return
            self.send(now, stage, step)

    def send(self, now, stage, step):
        limits, _ = self.stages[stage]
        endpoint_id = EndpointId(step.record.listed.endpoint_id)
        call_bytes = self.result_bytes * len(step.tasks)
        capacity = self.capacities.capacity(endpoint_id, limits)
        capacity.begin(len(step.tasks), call_bytes, now)
        waiting = len(self.queues[stage])
        self.calls.append((round(now, 6), stage, endpoint_id, len(step.tasks), waiting))
        ends_at = now + limits.duration_ms(len(step.tasks)) / 1_000.0
        self.at(ends_at, self.end, stage, capacity, step.tasks, call_bytes)

    def end(self, now, stage, capacity, tasks, call_bytes):
        capacity.end(call_bytes)
        if capacity.endpoint_id in self.lost:
            self.suspects |= {task.request_id for task in tasks}
            for task in tasks:
                (arrival,) = task.inputs
                self.queue(now, task.request_id, arrival, stage, [task.key.piece])
            return
        for task in tasks:
            handle = ResultHandle(f"{task.request_id}/{stage}/{task.key.piece}")
            if self.hold_s:
                capacity.hold(handle, self.result_bytes, now)
                self.at(now + self.hold_s, self.free, stage, capacity, handle)
            self.left[task.request_id] -= 1
            if self.left[task.request_id] > 0:
                continue
            (arrival,) = task.inputs
            if stage + 1 < len(self.stages):
                self.queue(now, task.request_id, arrival, stage + 1)
            else:
                self.done_at[task.request_id] = now - arrival.at
        self.at(now, self.dispatch, stage)

    def free(self, now, stage, capacity, handle):
        capacity.free(handle)
        self.at(now, self.dispatch, stage)

    def fill_while_full_call_waits(self, stage):
        """Return the pieces per place of calls that left a full call waiting."""
        batch = self.stages[stage][0].batch
        sizes = [c[3] for c in self.calls if c[1] == stage and c[4] >= batch]
        return sum(sizes) / (len(sizes) * batch), len(sizes)

    def in_time(self):
        """Return how many requests were done within the target."""
        return sum(took <= TARGET_S for took in self.done_at.values())
