"""Origins are held for as long as callers wait, and their number is bounded."""

from leadford.common import RequestId
from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams import OriginLedger, StreamOrigin
from leadford.forwarding.streams._ledger import MAX_ORIGIN_AGE_S, MAX_ORIGINS

OLD = StreamOrigin(ServiceId("s"), SoftwareVersion("v1"))
NEW = StreamOrigin(ServiceId("s"), SoftwareVersion("v2"))
R1, R2 = RequestId("r1"), RequestId("r2")


def test_an_origin_is_known_until_its_caller_waits_no_longer():
    ledger = OriginLedger()
    ledger.record(R1, OLD, 10.0, 100.0)
    ledger.record(R2, NEW, 5.0, 100.0)
    assert ledger.drop_ended(104.9) == []
    assert (ledger.find(R1), ledger.find(R2)) == (OLD, NEW)
    assert ledger.drop_ended(105.0) == [R2]
    assert (ledger.find(R1), ledger.find(R2)) == (OLD, None)
    assert ledger.drop_ended(110.0) == [R1]


def test_the_first_origin_of_a_stream_stays_for_as_long_as_any_caller_waits():
    ledger = OriginLedger()
    ledger.record(R1, OLD, 5.0, 100.0)
    ledger.record(R1, NEW, 9.0, 102.0)
    ledger.record(R1, NEW, 1.0, 102.0)
    assert ledger.drop_ended(110.9) == []
    assert ledger.find(R1) == OLD
    assert ledger.remaining_s(R1, 110.0) == 1.0
    assert ledger.drop_ended(111.0) == [R1]


def test_an_origin_of_a_caller_that_no_longer_waits_is_not_recorded():
    ledger = OriginLedger()
    ledger.record(R1, OLD, 0.0, 100.0)
    ledger.record(R2, OLD, -1.0, 100.0)
    assert len(ledger) == 0


def test_callers_that_wait_for_ever_are_forgotten():
    ledger = OriginLedger()
    ledger.record(R1, OLD, float("inf"), 100.0)
    assert ledger.drop_ended(100.0 + MAX_ORIGIN_AGE_S) == [R1]


def test_the_oldest_origins_give_way():
    ledger = OriginLedger()
    for number in range(MAX_ORIGINS + 2):
        ledger.record(RequestId(str(number)), OLD, 10.0, 100.0)
    assert len(ledger) == MAX_ORIGINS
    assert ledger.find(RequestId("1")) is None
    assert ledger.find(RequestId("2")) == OLD
    assert ledger.drop_ended(110.0)
    assert len(ledger) == len(ledger.until_by_id_) == 0
