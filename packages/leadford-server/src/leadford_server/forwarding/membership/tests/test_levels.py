"""Test what entries tell each other of levels, with a peer of each build.

Two entries exchange heartbeats over fake links; one schedules the contended service.
"""

from types import SimpleNamespace

import pytest

from leadford.common import EntryId
from leadford.forwarding.admission import RetryReservations
from leadford.forwarding.batching import (
    AdmittedBacklog,
    BacklogKey,
    GroupId,
    GroupLoad,
    PlaceId,
)
from leadford.forwarding.endpoints import EndpointLimits
from leadford.forwarding.history import FIRST_EPOCH, StorePosition
from leadford.forwarding.overload import LoopTurns, PeerDelays
from leadford.forwarding.routes import ServiceId
from leadford.protocol import (
    PROTOCOL_LOAD,
    UNKNOWN_PER_S,
    AdmittedLevels,
    EntryHeartbeat,
    FleetBacklog,
    FleetLevels,
    LevelCount,
    ServiceLevels,
)
from leadford_server.forwarding.membership._heartbeats import Heartbeats

CONTENDED, OTHER = ServiceId("contended"), ServiceId("other")
GROUPS = {GroupId(name, PlaceId("region")) for name in (CONTENDED, OTHER)}
SCHEDULER, ENTRY = EntryId("scheduler"), EntryId("entry")
FLOW = {0: 40.0, 2: 5.0}


class Node:
    """Run the heartbeats of one entry with a backlog and no endpoints."""

    def __init__(self, entry_id, **pieces_by_level):
        self.entry_id = entry_id
        self.now = 0.0
        self.contended = frozenset({CONTENDED})
        self.backlog = AdmittedBacklog()
        for level, pieces in pieces_by_level.items():
            for service in (CONTENDED, OTHER):
                known = (
                    int(level[1:]) if service == CONTENDED else min(1, int(level[1:]))
                )
                self.backlog.add(BacklogKey(service, known), pieces)
        scheduler = SimpleNamespace(
            loads=SimpleNamespace(
                load=lambda group: GroupLoad(0.0, 0, 0.0),
                uses_in_foreign_groups=lambda is_foreign: [],
            ),
            capacities_=SimpleNamespace(record_foreign_use=lambda *arguments: None),
            sample_throughput=lambda group: None,
            flow_by_level=lambda group: FLOW,
        )
        stages = SimpleNamespace(
            backlog_=self.backlog,
            scheduler_=scheduler,
            results=SimpleNamespace(unaccounted_uses=lambda now: []),
            groups=SimpleNamespace(
                scheduler_of=lambda group: SCHEDULER,
                loads_=SimpleNamespace(record_load=lambda group, load: None),
            ),
        )
        state = SimpleNamespace(
            now=lambda: self.now,
            roster_=SimpleNamespace(changed_position_=StorePosition(FIRST_EPOCH, 1)),
            reservations_=RetryReservations(),
            endpoint_limits_=EndpointLimits(entry_id=entry_id),
            level_service_ids=lambda: self.contended,
            config_confirmed_at_=None,
            table_=None,
            loop_turns_=LoopTurns(),
            peer_delays_=PeerDelays(),
        )
        self.heartbeats = Heartbeats(entry_id=entry_id, state=state, stages=stages)

    def messages_to(self, version):
        """Return what the next heartbeat has for a peer of a protocol version."""
        sent = []
        info = SimpleNamespace(peer_id=SCHEDULER, protocol_version=version)
        heartbeat = self.heartbeats.next(
            GROUPS,
            is_draining=False,
            lowest_version=PROTOCOL_LOAD,
            confirmations=None,
            confirmed_version=PROTOCOL_LOAD,
        )
        heartbeat.send(SimpleNamespace(info=info, send=sent.append))
        return sent

    def hear(self, sender, messages):
        peer = SimpleNamespace(info=SimpleNamespace(peer_id=sender))
        for message in messages:
            if isinstance(message, EntryHeartbeat):
                self.heartbeats.record(sender, message)
            elif isinstance(message, FleetBacklog):
                self.heartbeats.record_backlog(message)
            else:
                self.heartbeats.levels.handlers()[type(message)](peer, message)

    def levels_of(self, service=CONTENDED):
        return self.backlog.widest_sum(service, self.now).pieces_by_level


def kinds(messages):
    return [type(message) for message in messages]


@pytest.fixture
def scheduler():
    return Node(SCHEDULER, l0=4, l2=10)


@pytest.fixture
def entry():
    return Node(ENTRY, l0=1, l1=6, l3=7)


def test_levels_follow_the_reports_of_two_levels(scheduler, entry):
    sent = entry.messages_to(PROTOCOL_LOAD)
    assert kinds(sent) == [EntryHeartbeat, AdmittedLevels]
    reported = {(r.service_id, r.is_urgent): r.pieces for r in sent[0].commitments}
    assert reported[(CONTENDED, True)] == 1
    assert reported[(CONTENDED, False)] == 6 + 7
    scheduler.hear(ENTRY, sent)
    assert scheduler.levels_of() == {0: 5, 1: 6, 2: 10, 3: 7}
    sent = scheduler.messages_to(PROTOCOL_LOAD)
    assert FleetBacklog in kinds(sent)
    assert kinds(sent)[-1] is FleetLevels
    totals = {r.service_id: (r.urgent, r.less_urgent) for r in sent[1].services}
    assert totals[CONTENDED] == (5, 23)
    entry.hear(SCHEDULER, sent)
    assert entry.levels_of() == {0: 5, 1: 6, 2: 10, 3: 7}
    assert entry.backlog.flow_above_per_s(CONTENDED, 2, 0.0) == FLOW[0]


def test_services_that_are_not_contended_are_told_in_two_levels_only(scheduler, entry):
    sent = entry.messages_to(PROTOCOL_LOAD)
    (levels,) = [m for m in sent if isinstance(m, AdmittedLevels)]
    assert [report.service_id for report in levels.services] == [CONTENDED]
    scheduler.hear(ENTRY, sent)
    assert scheduler.levels_of(OTHER) == {0: 5, 1: 23}


def test_a_peer_of_an_older_build_gets_what_it_can_read(scheduler, entry):
    scheduler.hear(ENTRY, entry.messages_to(PROTOCOL_LOAD - 1))
    sent = scheduler.messages_to(PROTOCOL_LOAD - 1)
    assert not {AdmittedLevels, FleetLevels} & set(kinds(sent))
    assert FleetBacklog in kinds(sent)


def test_what_an_older_build_reports_counts_as_two_levels(scheduler, entry):
    scheduler.hear(ENTRY, entry.messages_to(PROTOCOL_LOAD - 1))
    assert scheduler.levels_of() == {0: 5, 1: 13, 2: 10}


def test_nothing_is_told_by_level_while_the_rule_is_off(scheduler, entry):
    scheduler.contended = entry.contended = frozenset()
    for node in (scheduler, entry):
        sent = node.messages_to(PROTOCOL_LOAD)
        assert not {AdmittedLevels, FleetLevels} & set(kinds(sent))


def test_the_reports_of_a_scheduler_that_is_gone_expire(scheduler, entry):
    entry.messages_to(PROTOCOL_LOAD)
    entry.hear(SCHEDULER, scheduler.messages_to(PROTOCOL_LOAD))
    assert entry.levels_of()[2] == 10
    entry.now = 1.6
    assert entry.levels_of() == {0: 1, 1: 6, 3: 7}
    assert entry.backlog.flow_above_per_s(CONTENDED, 9, entry.now) == 0.0


def test_counts_that_make_no_sense_are_left_out():
    node = Node(ENTRY)
    counts = [
        LevelCount(-1, 5),
        LevelCount(10, 5),
        LevelCount(1, -5, 3.0),
        LevelCount(2, 5, float("nan")),
        LevelCount(3, 6, UNKNOWN_PER_S),
    ]
    node.hear(SCHEDULER, [FleetLevels([ServiceLevels(CONTENDED, 9, counts)])])
    assert node.levels_of() == {2: 5, 3: 6}
    assert node.backlog.flow_above_per_s(CONTENDED, 9, 0.0) == 0.0
