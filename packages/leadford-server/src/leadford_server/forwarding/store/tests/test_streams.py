"""Looking for streams to record costs little where many are held."""

from types import SimpleNamespace

from leadford.common import RequestId
from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams import (
    OriginLedger,
    StreamContent,
    StreamKey,
    StreamOrigin,
)
from leadford_server.forwarding.store import StreamRecords

SERVICE = ServiceId("engine")
ORIGIN = StreamOrigin(SERVICE, SoftwareVersion("v1"))


def test_the_endpoints_of_a_service_are_not_gone_through_for_each_stream():
    ledger = OriginLedger()
    ids = [RequestId(f"r{number}") for number in range(100)]
    for request_id in ids:
        ledger.record(StreamKey(request_id, StreamContent("c")), ORIGIN, 10.0, 0.0)
    asked = []
    records = StreamRecords(
        state=SimpleNamespace(origin_ledger_=ledger),
        client=None,
        objects=SimpleNamespace(streams_kind="streams"),
        held_ids=lambda: ids,
        overlaps=lambda service_id: asked.append(service_id) or True,
        entry_ids=set,
        is_follower=lambda: True,
    )
    assert set(records._origins_to_record()) == set(ids)
    assert asked == [SERVICE]
