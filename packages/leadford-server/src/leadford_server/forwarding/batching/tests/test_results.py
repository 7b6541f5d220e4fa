"""Room of results whose scheduler was lost is reported until they are released."""

from leadford.common import EndpointId, EntryId, HallId
from leadford.forwarding.batching import CapacityUse
from leadford.forwarding.routes import ResultHandle
from leadford_server.forwarding.batching._jobs import ResultLocation
from leadford_server.forwarding.batching._results import ResultTable

LOST = EntryId("lost")
ENDPOINT = EndpointId("e")


def table(reported_until=4.0):
    """Return the results of a request: two made by a lost scheduler, one here."""
    results = ResultTable(entry_id=EntryId("here"), release_locally=lambda *args: None)
    for name, scheduler_id in (("a", LOST), ("b", LOST), ("c", EntryId("here"))):
        location = ResultLocation(
            ENDPOINT, HallId("h"), scheduler_id, 10, reported_until
        )
        results.record(ResultHandle(name), location)
    return results


def test_results_are_reported_once_their_scheduler_is_lost():
    results = table()
    assert results.unaccounted_uses(0.0) == []
    results.record_scheduler_lost(LOST)
    assert results.unaccounted_uses(0.0) == [CapacityUse(ENDPOINT, 20, 0)]


def test_released_and_expired_results_are_not_reported():
    results = table()
    results.record_scheduler_lost(LOST)
    results.release_at = lambda *args: None
    results.release([ResultHandle("a")])
    assert results.unaccounted_uses(0.0) == [CapacityUse(ENDPOINT, 10, 0)]
    assert results.unaccounted_uses(4.0) == []


def test_nothing_is_reported_of_services_that_are_not_contended():
    results = table(reported_until=0.0)
    results.record_scheduler_lost(LOST)
    assert results.unaccounted_uses(0.1) == []
