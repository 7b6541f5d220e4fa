"""Origins are held for as long as callers wait, and their number is bounded."""

from leadford.common import RequestId
from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams import (
    OriginLedger,
    StreamContent,
    StreamKey,
    StreamOrigin,
    agreed_origin,
)
from leadford.forwarding.streams._ledger import MAX_ORIGIN_AGE_S, MAX_ORIGINS

OLD = StreamOrigin(ServiceId("s"), SoftwareVersion("v1"))
NEW = StreamOrigin(ServiceId("s"), SoftwareVersion("v2"))
R1, R2 = RequestId("r1"), RequestId("r2")
CONTENT = StreamContent("c")


def key(request_id, content=CONTENT):
    return StreamKey(request_id, content)


def test_an_origin_is_known_until_its_caller_waits_no_longer():
    ledger = OriginLedger()
    ledger.record(key(R1), OLD, 10.0, 100.0)
    ledger.record(key(R2), NEW, 5.0, 100.0)
    assert ledger.drop_ended(104.9) == []
    assert (ledger.find(R1), ledger.find(R2)) == (OLD, NEW)
    assert ledger.drop_ended(105.0) == [R2]
    assert (ledger.find(R1), ledger.find(R2)) == (OLD, None)
    assert ledger.drop_ended(110.0) == [R1]


def test_the_first_origin_of_a_stream_stays_for_as_long_as_any_caller_waits():
    ledger = OriginLedger()
    ledger.record(key(R1), OLD, 5.0, 100.0)
    ledger.record(key(R1), NEW, 9.0, 102.0)
    ledger.record(key(R1), NEW, 1.0, 102.0)
    assert ledger.drop_ended(110.9) == []
    assert ledger.find(R1) == OLD
    assert ledger.remaining_s(R1, 110.0) == 1.0
    assert ledger.drop_ended(111.0) == [R1]


def test_an_origin_of_a_caller_that_no_longer_waits_is_not_recorded():
    ledger = OriginLedger()
    ledger.record(key(R1), OLD, 0.0, 100.0)
    ledger.record(key(R2), OLD, -1.0, 100.0)
    ledger.record(key(R2), OLD, float("nan"), 100.0)
    assert len(ledger) == 0


def test_callers_that_wait_for_ever_are_forgotten():
    ledger = OriginLedger()
    ledger.record(key(R1), OLD, float("inf"), 100.0)
    assert ledger.drop_ended(100.0 + MAX_ORIGIN_AGE_S) == [R1]


def test_the_oldest_origins_give_way():
    ledger = OriginLedger()
    for number in range(MAX_ORIGINS + 2):
        ledger.record(key(RequestId(str(number))), OLD, 10.0, 100.0)
    assert len(ledger) == MAX_ORIGINS
    assert ledger.find(RequestId("1")) is None
    assert ledger.find(RequestId("2")) == OLD
    assert ledger.drop_ended(110.0)
    assert len(ledger) == len(ledger.until_by_id_) == 0
    assert not ledger.content_by_id_
    assert not ledger.ids_by_content_


def test_origins_that_give_way_are_missing():
    ledger = OriginLedger()
    ledger.record_gap(0.0)
    for number in range(MAX_ORIGINS):
        ledger.record(key(RequestId(str(number))), OLD, 10.0, 100.0)
    assert ledger.complete_for_s(100.0) == 100.0
    ledger.record(key(R1), OLD, 10.0, 101.0)
    assert ledger.complete_for_s(101.0) == 0.0


def test_a_stream_that_is_not_named_is_known_by_its_content():
    ledger = OriginLedger()
    ledger.record(key(R1), OLD, 10.0, 100.0)
    ledger.record(key(R2), NEW, 5.0, 100.0)
    assert ledger.matching_ids(key(None)) == [R1, R2]
    assert ledger.matching_ids(key(None, StreamContent("other"))) == []
    assert ledger.matching_ids(key(R2, StreamContent("other"))) == [R2]
    assert ledger.matching_ids(key(RequestId("r3"))) == []
    ledger.drop_ended(105.0)
    assert ledger.matching_ids(key(None)) == [R1]


def test_origins_that_differ_are_none():
    assert agreed_origin([]) is None
    assert agreed_origin([OLD, OLD]) == OLD
    assert agreed_origin([OLD, NEW]) is None
