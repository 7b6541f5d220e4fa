"""A caller that was refused at one entry is let in at another, whatever fails between.

The load of each test: more pieces are admitted at every entry than the stage computes
before any target, so that only requests with a booking are admitted.
"""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest
from prometheus_client import REGISTRY

from leadford.common import EntryId
from leadford.forwarding.admission import (
    AdmissionRequest,
    ForwardAdmission,
    RetryReservations,
    StageCapacity,
    Verdict,
)
from leadford.forwarding.batching import AdmittedBacklog, BacklogKey, GroupId, PlaceId
from leadford.forwarding.routes import (
    PieceLimits,
    Route,
    RouteId,
    RouteKind,
    ServiceId,
    StageSpec,
    WeightedService,
)
from leadford.protocol import (
    PROTOCOL_EPOCHS,
    PROTOCOL_LOAD,
    BookingAnswer,
    BookingClaim,
    BookingClaimAnswer,
    BookingRequest,
)
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.forwarding.answers._returns import (
    MAX_BOOKING_WAIT_S,
    CallerReturn,
)
from leadford_server.forwarding.membership._bookings import BookingExchange
from leadford_server.forwarding.membership._ledgers import ServiceLedgers
from leadford_server.forwarding.membership.tests.instant_loop import new_loop

SERVICE = ServiceId("stage")
GROUP = GroupId(SERVICE, PlaceId("hall"))
LIMITS = PieceLimits(1, 2, 10, 50.0, 5.0, 10**6, 4.0)
ROUTE = Route(
    route_id=RouteId("r"),
    host="h",
    path_prefix="/",
    kind=RouteKind.STREAM,
    services=(WeightedService(ServiceId("engine"), 1.0),),
    timeout_ms=3_000.0,
    aim_ms=1_000.0,
    priority=1,
    stages=(StageSpec(SERVICE, (), 1_000),),
)
BACKLOG = 900
KEY = BacklogKey(SERVICE, 1)
# Time in which a message and its answer arrive.
SOON_S = 0.02


def total(end):
    return REGISTRY.get_sample_value("leadford_bookings_total", {"end": end}) or 0.0


def request_at(now, fingerprint, remaining_s=3.0):
    return AdmissionRequest(
        ROUTE,
        (4,),
        {SERVICE: StageCapacity(LIMITS, 1)},
        priority=1,
        fingerprint=fingerprint,
        first_byte_s=0.01,
        elapsed_s=0.0,
        timeout_s=remaining_s,
        now=now,
        caller_timeout_s=remaining_s,
    )


class Fleet:
    """Connect entries; the first one schedules the stage."""

    def __init__(self, *, entries=3, is_contended=True, all_know=True):
        self.scheduler = 0
        self.delay_s = 0.001
        self.cut = set()
        self.sent = []
        self.is_contended = is_contended
        self.all_know = all_know
        self.versions = {}
        self.entries = [Entry(fleet=self, number=n) for n in range(entries)]
        for entry in self.entries:
            for other in self.entries:
                if other is not entry:
                    entry.peers[other.entry_id] = Link(entry, other)

    @property
    def owner(self):
        return self.entries[self.scheduler]


class Entry:
    """Hold one entry's bookings and admission, with fakes of what they use."""

    def __init__(self, *, fleet, number):
        self.fleet = fleet
        self.entry_id = EntryId(f"entry-{number}")
        loop = asyncio.get_running_loop()
        record = SimpleNamespace(
            work_ratio=lambda now: 1.0, is_suspect=lambda now: False
        )
        self.state = SimpleNamespace(
            entry_id=self.entry_id,
            loop=loop,
            now=loop.time,
            is_contended=lambda service_id: fleet.is_contended,
            group_map_=SimpleNamespace(usable_by_group=lambda service, now: {GROUP: 1}),
            service=lambda service_id: SimpleNamespace(pieces=LIMITS),
            usable=lambda service_id: [record],
            reservations_=RetryReservations(),
        )
        self.backlog = AdmittedBacklog()
        self.backlog.add(KEY, BACKLOG)
        stages = SimpleNamespace(
            groups=SimpleNamespace(scheduler_of=lambda group: fleet.owner.entry_id),
            backlog_=self.backlog,
        )
        self.peers = {}
        self.ledgers = ServiceLedgers(
            state=self.state, stages=stages, all_know=lambda rule: fleet.all_know
        )
        self.bookings = BookingExchange(
            state=self.state, peers_by_id=self.peers, ledgers=self.ledgers
        )
        self.state.bookings_ = self.bookings
        self.admission = ForwardAdmission(
            backlog=self.backlog,
            reservations=self.state.reservations_,
            random=Random(1),
        )

    async def send(self, fingerprint, remaining_s=3.0):
        """Return the decision on a request, and the delay that its caller is told."""
        caller_return = CallerReturn(
            state=self.state,
            admission=self.admission,
            progress=RequestProgress(request=None),
        )
        request = request_at(self.state.now(), fingerprint, remaining_s)
        request = await caller_return.claim(request)
        decision = self.admission.decide(request)
        self.forecast_s = decision.retry_after_s
        if decision.verdict is Verdict.REFUSE:
            decision = await caller_return.book(request, decision)
        return decision, decision.retry_after_s

    def hear_of(self, fingerprint, other):
        """Record a refusal that another entry told with its heartbeat."""
        known = other.state.reservations_.by_fingerprint_[fingerprint]
        self.state.reservations_.record(known, is_own=False)


class Link:
    """Carry messages from one entry to another after a delay, unless it is cut."""

    def __init__(self, sender, receiver):
        self.sender, self.receiver = sender, receiver
        fleet = sender.fleet
        self.info = SimpleNamespace(
            peer_id=receiver.entry_id,
            protocol_version=fleet.versions.get(receiver.entry_id, PROTOCOL_LOAD),
        )

    def send(self, message):
        fleet = self.sender.fleet
        fleet.sent.append(message)
        if {self.sender.entry_id, self.receiver.entry_id} & fleet.cut:
            return
        self.sender.state.loop.call_later(fleet.delay_s, self._deliver, message)

    def _deliver(self, message):
        handler = self.receiver.bookings.handlers()[type(message)]
        handler(self.receiver.peers[self.sender.entry_id], message)


def run(scenario, **fields):
    async def main():
        fleet = Fleet(**fields)
        await asyncio.wait_for(scenario(fleet), 20)
        assert all(not e.bookings.queries_by_ask_id_ for e in fleet.entries)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(main())


async def refused_then_return(fleet, *, at=1, back_at=2, between=None, is_known=True):
    """Refuse a caller, and return the decision on its return through another entry."""
    refused, told_s = await fleet.entries[at].send("f")
    assert refused.verdict is Verdict.REFUSE
    if is_known:
        fleet.entries[back_at].hear_of("f", fleet.entries[at])
    if between is not None:
        between()
    await asyncio.sleep(told_s)
    return (await fleet.entries[back_at].send("f", 3.0 - told_s))[0]


@pytest.mark.parametrize(("at", "back_at"), [(1, 2), (0, 1), (1, 0), (0, 0)])
def test_a_caller_that_returns_as_told_is_let_in_at_any_entry(at, back_at):
    async def scenario(fleet):
        made, kept = total("made"), total("kept")
        decision = await refused_then_return(fleet, at=at, back_at=back_at)
        assert decision.verdict is Verdict.ADMIT
        assert (total("made"), total("kept")) == (made + 1, kept + 1)
        # The booking is over: the same request again is judged as any other.
        again, _ = await fleet.entries[back_at].send("f", 1.5)
        assert again.verdict is Verdict.REFUSE

    run(scenario)


@pytest.mark.parametrize("back_at", [0, 2])
def test_a_return_is_let_in_though_its_entry_does_not_recognize_it(back_at):
    async def scenario(fleet):
        kept, lapsed = total("kept"), total("lapsed")
        decision = await refused_then_return(fleet, back_at=back_at, is_known=False)
        assert decision.verdict is Verdict.ADMIT
        assert total("kept") == kept + 1
        await asyncio.sleep(2.0)
        fleet.owner.ledgers.refresh()
        assert total("lapsed") == lapsed

    run(scenario)


def test_a_claim_that_is_lost_leaves_the_booking_to_the_next_one():
    async def scenario(fleet):
        def lose_claims(peer, message):
            """Answer no claim the first time."""
            del fleet.owner.bookings.handlers

        handlers = fleet.owner.bookings.handlers()
        fleet.owner.bookings.handlers = lambda: {**handlers, BookingClaim: lose_claims}
        decision = await refused_then_return(fleet)
        # The limit is spent on the first claim, and the booking is still there.
        assert decision.verdict is Verdict.REFUSE
        again, _ = await fleet.entries[2].send("f", 1.9)
        assert again.verdict is Verdict.ADMIT

    run(scenario)


def test_a_caller_that_comes_early_or_repeats_is_refused_and_keeps_its_booking():
    async def scenario(fleet):
        early = total("early")
        _, told_s = await fleet.entries[1].send("f")
        at = fleet.entries[1].state.now() + told_s
        again = await asyncio.gather(*(fleet.entries[1].send("f") for _ in range(3)))
        assert all(decision.verdict is Verdict.REFUSE for decision, _ in again)
        assert all(
            abs(fleet.entries[1].state.now() + later_s - at) < 0.05
            for _, later_s in again
        )
        assert total("early") == early + 3
        ledger = fleet.owner.ledgers.ledgers_by_service_[SERVICE]
        assert sum(ledger.pieces_by_slot_.values()) == 4
        await asyncio.sleep(at - fleet.entries[1].state.now())
        assert (await fleet.entries[1].send("f", 2.0))[0].verdict is Verdict.ADMIT

    run(scenario)


@pytest.mark.parametrize(
    "fields", [{"is_contended": False}, {"all_know": False}], ids=str
)
def test_where_the_rule_is_off_nothing_is_sent_and_decisions_are_as_before(fields):
    async def scenario(fleet):
        plain = ForwardAdmission(
            backlog=fleet.entries[1].backlog,
            reservations=RetryReservations(),
            random=Random(1),
        )
        entry = fleet.entries[1]
        refused, told_s = await entry.send("f")
        request = request_at(entry.state.now(), "f")
        assert refused == plain.decide(request)
        assert told_s == fleet.entries[1].forecast_s
        await entry.send("f")
        assert fleet.sent == []
        for entry in fleet.entries:
            entry.ledgers.refresh()
            assert entry.backlog.own_report() == {KEY: BACKLOG}

    run(scenario, **fields)


def kill(fleet):
    """Stop the scheduler: links end, and another entry schedules."""
    gone = fleet.owner.entry_id
    fleet.cut.add(gone)
    for entry in fleet.entries:
        entry.peers.pop(gone, None)
    fleet.scheduler = 1


def cut(fleet):
    fleet.cut.add(fleet.owner.entry_id)


def replace(fleet):
    """Let another entry schedule while the former one lives."""
    fleet.scheduler = 1


@pytest.mark.parametrize("failure", [kill, cut, replace])
def test_a_return_after_its_scheduler_is_gone_is_judged_as_any_return(failure):
    async def scenario(fleet):
        began = []

        def fail():
            failure(fleet)
            began.append(True)

        decision = await refused_then_return(fleet, between=fail)
        assert began
        assert decision.verdict is Verdict.REFUSE
        assert decision.is_refusal_known
        # New bookings are made by the successor, if it is known.
        made = total("made")
        await fleet.entries[2].send("g")
        assert total("made") == made + (failure is not cut)

    run(scenario)


def test_the_former_scheduler_books_nothing_and_counts_its_bookings_no_more():
    async def scenario(fleet):
        await fleet.entries[2].send("f")
        former = fleet.owner
        former.ledgers.refresh()
        replace(fleet)
        former.ledgers.refresh()
        assert former.backlog.own_report() == {KEY: BACKLOG}
        link = fleet.entries[2].peers[former.entry_id]
        link.send(BookingRequest(7, SERVICE, "g", 1, 4, 300.0, 900.0))
        await asyncio.sleep(SOON_S)
        assert fleet.sent[-1] == BookingAnswer(7, -1.0)

    run(scenario)


def test_a_slow_scheduler_delays_a_refusal_by_the_limit_only():
    async def scenario(fleet):
        unanswered = total("unanswered")
        fleet.delay_s = 0.1
        began_at = fleet.entries[1].state.now()
        decision, told_s = await fleet.entries[1].send("f")
        took_s = fleet.entries[1].state.now() - began_at
        assert took_s == pytest.approx(MAX_BOOKING_WAIT_S)
        assert told_s == fleet.entries[1].forecast_s
        # A claim and a query for a booking share the limit.
        began_at = fleet.entries[1].state.now()
        await fleet.entries[1].send("f")
        took_s = fleet.entries[1].state.now() - began_at
        assert took_s == pytest.approx(MAX_BOOKING_WAIT_S)
        assert total("unanswered") > unanswered
        # The answers that come now are ignored.
        await asyncio.sleep(0.3)

    run(scenario)


def test_no_message_goes_to_a_scheduler_of_an_older_build():
    async def scenario(fleet):
        for entry in fleet.entries[1:]:
            entry.peers[fleet.owner.entry_id].info.protocol_version = PROTOCOL_EPOCHS
        decision, told_s = await fleet.entries[1].send("f")
        assert told_s == fleet.entries[1].forecast_s
        await fleet.entries[1].send("f")
        assert fleet.sent == []

    run(scenario)


def test_a_caller_that_leaves_while_its_booking_is_asked_for_leaves_nothing_behind():
    async def scenario(fleet):
        lapsed = total("lapsed")
        asked = asyncio.ensure_future(fleet.entries[1].send("f"))
        await asyncio.sleep(0)
        assert fleet.entries[1].bookings.queries_by_ask_id_
        asked.cancel()
        with pytest.raises(asyncio.CancelledError):
            await asked
        assert not fleet.entries[1].bookings.queries_by_ask_id_
        await asyncio.sleep(SOON_S)
        # The scheduler booked for it; that lapses.
        (booking,) = fleet.owner.ledgers.ledgers_by_service_[
            SERVICE
        ].bookings_by_fingerprint_.values()
        await asyncio.sleep(booking.return_at + 1.01 - fleet.owner.state.now())
        fleet.owner.ledgers.refresh()
        assert total("lapsed") == lapsed + 1

    run(scenario, entries=2)


@pytest.mark.parametrize("return_ms", [float("nan"), float("inf"), -5.0, 1e9])
def test_an_answer_without_sense_books_nothing(return_ms):
    async def scenario(fleet):
        owner, entry = fleet.entries[:2]
        owner.ledgers.book = lambda service_id, query: return_ms / 1_000.0
        decision, told_s = await entry.send("f")
        assert told_s == fleet.entries[1].forecast_s

    run(scenario)


def test_unknown_and_repeated_answers_and_those_of_others_are_ignored():
    async def scenario(fleet):
        entry = fleet.entries[1]
        asked = asyncio.ensure_future(entry.send("f"))
        await asyncio.sleep(0)
        (ask_id,) = entry.bookings.queries_by_ask_id_
        from_other = fleet.entries[2].peers[entry.entry_id]
        from_other.send(BookingAnswer(ask_id, 300.0))
        from_owner = fleet.owner.peers[entry.entry_id]
        for message in (
            BookingAnswer(ask_id + 40, 300.0),
            BookingClaimAnswer(ask_id + 41, True),
        ):
            from_owner.send(message)
        decision, told_s = await asked
        ledger = fleet.owner.ledgers.ledgers_by_service_[SERVICE]
        (booking,) = ledger.bookings_by_fingerprint_.values()
        assert told_s == pytest.approx(
            booking.return_at - entry.state.now(), abs=SOON_S
        )
        from_owner.send(BookingAnswer(ask_id, 700.0))
        await asyncio.sleep(SOON_S)

    run(scenario)


@pytest.mark.parametrize(
    "message",
    [
        BookingRequest(1, SERVICE, "f", -1, 4, 300.0, 900.0),
        BookingRequest(1, SERVICE, "f", 1, -4, 300.0, 900.0),
        BookingRequest(1, SERVICE, "f", 1, 10**12, 300.0, 900.0),
        BookingRequest(1, SERVICE, "f", 1, 4, float("nan"), 900.0),
        BookingClaim(1, "unknown", "f"),
    ],
)
def test_a_query_without_sense_is_answered_with_no(message):
    async def scenario(fleet):
        fleet.entries[1].peers[fleet.owner.entry_id].send(message)
        await asyncio.sleep(SOON_S)
        answer = fleet.sent[-1]
        assert answer in (BookingAnswer(1, -1.0), BookingClaimAnswer(1, False))

    run(scenario)


def test_bookings_that_are_due_count_as_admitted_until_they_are_claimed():
    async def scenario(fleet):
        owner = fleet.owner
        await fleet.entries[1].send("f")
        owner.ledgers.refresh()
        assert owner.backlog.own_report() == {KEY: BACKLOG + 4}
        owner.ledgers.refresh()
        assert owner.backlog.own_report() == {KEY: BACKLOG + 4}
        (booking,) = owner.ledgers.ledgers_by_service_[
            SERVICE
        ].bookings_by_fingerprint_.values()
        await asyncio.sleep(booking.return_at - owner.state.now())
        assert (await fleet.entries[1].send("f", 2.0))[0].verdict is Verdict.ADMIT
        assert owner.backlog.own_report() == {KEY: BACKLOG}

    run(scenario)


def test_a_request_without_time_for_a_return_is_refused_without_a_query():
    async def scenario(fleet):
        decision, told_s = await fleet.entries[1].send("f", 0.4)
        assert decision.verdict is Verdict.REFUSE
        assert told_s == fleet.entries[1].forecast_s
        assert fleet.sent == []

    run(scenario)
