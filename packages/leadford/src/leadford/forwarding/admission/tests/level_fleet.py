"""Replay loads on three contended stages: entries, heartbeats, and queues of calls.

Requests arrive at four entries that learn from each other by heartbeats every 0.2 s.
Each stage has one queue, and endpoints that take calls from it as they become free.
"""

from random import Random

from leadford.common import EndpointId, EntryId, RequestId, WorkspaceId
from leadford.forwarding.admission import (
    ForwardAdmission,
    RetryReservations,
    StageCapacity,
    Verdict,
)
from leadford.forwarding.admission.tests.conftest import (
    piece_limits,
    request_for,
    staged_route,
)
from leadford.forwarding.batching import (
    AdmittedBacklog,
    BacklogKey,
    BacklogSum,
    PieceKey,
    PieceQueue,
    PieceTask,
    Throughput,
    queue_delay_s,
)
from leadford.forwarding.routes import RouteId, RouteLevels, ServiceId, StageSpec

SERVICES = (ServiceId("first"), ServiceId("second"), ServiceId("last"))
LIMITS = piece_limits(batch=20, piece_ms=6.0, room_bytes=100_000_000)
# Four pieces of each request at each stage; the last stage has the fewest endpoints.
PIECES = 4
ENDPOINTS = {SERVICES[0]: 5, SERVICES[1]: 5, SERVICES[2]: 4}
CAPACITY_PER_S = ENDPOINTS[SERVICES[2]] * LIMITS.batch / LIMITS.full_call_s / PIECES
ENGINE_S = 0.1
STEP_S = 0.01
HEARTBEAT_STEPS = 20
ENTRIES = 4
ALL_SERVICES = frozenset(SERVICES)


def kind(name, priority, aim_s, services=SERVICES):
    stages = [
        StageSpec(service, (number - 1,) if number else (), 10_000)
        for number, service in enumerate(services)
    ]
    return staged_route(
        *stages,
        route_id=RouteId(name),
        priority=priority,
        aim_ms=aim_s * 1_000.0,
        timeout_ms=8_000.0,
    )


class Ended:
    """Hold what became of a request."""

    def __init__(self, route, workspace, came_at, decision):
        self.route = route
        self.workspace = workspace
        self.came_at = came_at
        self.is_admitted = decision.verdict is Verdict.ADMIT
        self.expected_s = decision.expected_s
        self.answered_at = None

    @property
    def is_in_time(self):
        limit_s = self.route.aim_ms / 1_000.0
        return (
            self.answered_at is not None and self.answered_at - self.came_at <= limit_s
        )


class LevelFleet:
    """Simulate entries and stages; `contended` is empty while the rule is off."""

    def __init__(self, *, contended=ALL_SERVICES, hears=lambda entry, now: True):
        self.contended = contended
        # Whether an entry hears heartbeats, and whether the scheduler reports sums.
        self.hears = hears
        self.reports_sums = lambda now: True
        self.backlogs = [AdmittedBacklog() for _ in range(ENTRIES)]
        self.admissions = [
            ForwardAdmission(
                backlog=backlog, reservations=RetryReservations(), random=Random(1)
            )
            for backlog in self.backlogs
        ]
        self.queues = {service: PieceQueue() for service in SERVICES}
        self.throughputs = {service: Throughput() for service in SERVICES}
        self.calls = {service: [] for service in SERVICES}
        self.requests = []
        self.under_way = {}
        self.random = Random(5)

    def submit(self, route, now, workspace=None):
        entry = self.random.randrange(ENTRIES)
        contended = self.contended
        decision = self.admissions[entry].decide(
            request_for(
                route,
                (PIECES,) * len(route.stages),
                {name: StageCapacity(LIMITS, ENDPOINTS[name]) for name in SERVICES},
                priority=route.priority,
                fingerprint=f"{len(self.requests)}",
                first_byte_s=ENGINE_S,
                now=now,
                contended_ids=contended,
                workspace_id=None if workspace is None else WorkspaceId(workspace),
            )
        )
        request = Ended(route, workspace, now, decision)
        self.requests.append(request)
        if not request.is_admitted:
            return
        number = len(self.requests)
        levels = RouteLevels.from_route(route, contended)
        self.under_way[RequestId(str(number))] = [request, entry, levels, 0, PIECES]
        for stage in route.stages:
            key = BacklogKey(stage.service_id, levels.level(stage.service_id))
            self.backlogs[entry].add(key, PIECES)
        self.queue_stage(RequestId(str(number)), now)

    def queue_stage(self, request_id, now):
        request, entry, levels, stage, _ = self.under_way[request_id]
        service = request.route.stages[stage].service_id
        due_at = request.came_at + request.route.aim_ms / 1_000.0 - ENGINE_S
        due_at -= (len(request.route.stages) - stage - 1) * LIMITS.full_call_s
        for piece in range(PIECES):
            self.queues[service].push(
                PieceTask(
                    correlation_id=piece,
                    origin=EntryId(f"e{entry}"),
                    request_id=request_id,
                    key=PieceKey(stage, piece),
                    request_key="k",
                    inputs=(),
                    result_bytes=10_000,
                    deadline=request.came_at + 8.0,
                    due_at=due_at,
                    rank_at=due_at
                    + queue_delay_s(request.route, request.route.priority),
                    queued_at=now,
                    level=levels.contended_level(service),
                )
            )

    def finish(self, task, service, now):
        state = self.under_way.get(task.request_id)
        if state is None:
            return
        request, entry, levels, stage, left = state
        self.backlogs[entry].add(BacklogKey(service, levels.level(service)), -1)
        self.throughputs[service].record_computed(level=task.known_level)
        state[4] = left - 1
        if left > 1:
            return
        state[3], state[4] = stage + 1, PIECES
        if stage + 1 < len(request.route.stages):
            self.queue_stage(task.request_id, now)
        else:
            request.answered_at = now + ENGINE_S
            del self.under_way[task.request_id]

    def drop(self, request_id):
        """End a request whose deadline has passed."""
        if request_id not in self.under_way:
            return
        request, entry, levels, stage, left = self.under_way.pop(request_id)
        counts = [left] + [PIECES] * (len(request.route.stages) - stage - 1)
        for later, count in zip(request.route.stages[stage:], counts, strict=True):
            key = BacklogKey(later.service_id, levels.level(later.service_id))
            self.backlogs[entry].add(key, -count)

    def process(self, now):
        for service in SERVICES:
            calls = self.calls[service]
            for call in [call for call in calls if call[0] <= now]:
                calls.remove(call)
                for task in call[1]:
                    self.finish(task, service, now)
            queue = self.queues[service]
            for task in queue.discard(lambda task: task.deadline > now):
                self.drop(task.request_id)
            while len(calls) < ENDPOINTS[service] and len(queue) > 0:
                if queue.window_ends_at(LIMITS) > now:
                    break
                tasks = queue.take(
                    limits=LIMITS,
                    now=now,
                    room_bytes=10**9,
                    endpoint_id=EndpointId("p"),
                    endpoints=ENDPOINTS[service],
                )
                duration_s = LIMITS.duration_ms(len(tasks)) / 1_000.0
                calls.append((now + duration_s, tasks))

    def exchange_heartbeats(self, now):
        """Have entries hear each other; entry 0 schedules all stages."""
        reports = [dict(backlog.own_report()) for backlog in self.backlogs]
        for number, backlog in enumerate(self.backlogs):
            if not self.hears(number, now):
                continue
            for other in range(ENTRIES):
                if other != number:
                    backlog.record_report(EntryId(f"e{other}"), reports[other], now)
        if not self.reports_sums(now):
            return
        for service in SERVICES:
            full_round = ENDPOINTS[service] * LIMITS.batch
            throughput = self.throughputs[service]
            throughput.sample(
                waiting=len(self.queues[service]), full_round_pieces=full_round, now=now
            )
            known = self.backlogs[0].sum(service, now)
            reported = BacklogSum(
                known.entries,
                known.pieces_by_level,
                is_by_level=service in self.contended,
            )
            for number, backlog in enumerate(self.backlogs):
                if number > 0 and not self.hears(number, now):
                    continue
                backlog.record_sum(service, reported, now)
                backlog.record_rate(service, throughput.rate(now), now)
                backlog.record_flow(service, throughput.flow_by_level(now), now)


def replay(fleet, loads, *, duration_s, on_step=lambda now: None):
    """Replay loads, each a route, requests per second by time, and a workspace."""
    due = [0.0 for _ in loads]
    for step in range(round(duration_s / STEP_S)):
        now = step * STEP_S
        if step % HEARTBEAT_STEPS == 0:
            fleet.exchange_heartbeats(now)
        on_step(now)
        for number, (route, per_s, workspace) in enumerate(loads):
            due[number] += per_s(now) * STEP_S
            while due[number] >= 1.0:
                due[number] -= 1.0
                fleet.submit(route, now, workspace)
        fleet.process(now)
    return fleet


def burst(rate_per_s, times, *, begins_at=2.0, lasts_s=5.0):
    """Return a rate that is multiplied for some seconds."""

    def per_s(now):
        is_burst = begins_at <= now < begins_at + lasts_s
        return rate_per_s * (times if is_burst else 1.0)

    return per_s


def steady(rate_per_s):
    return lambda now: rate_per_s


def inversions(requests):
    """Return the requests that were refused in a second of their kind's inversion.

    In such a second a less urgent request for the same stages was admitted.
    """
    admitted = {}
    for request in requests:
        if request.is_admitted:
            second = int(request.came_at)
            priority = request.route.priority
            admitted[second] = max(admitted.get(second, -1), priority)
    return [
        request
        for request in requests
        if not request.is_admitted
        and request.route.priority < admitted.get(int(request.came_at), -1)
    ]


def of_kind(requests, route, begin=0.0, end=float("inf")):
    return [
        request
        for request in requests
        if request.route.route_id == route.route_id and begin <= request.came_at < end
    ]
