"""An endpoint that asks for a rest gets no requests for the time that it names."""

from leadford.common import EndpointId
from leadford.forwarding.endpoints import EndpointRetryAfter

ID = EndpointId("e")


def test_a_rest_lasts_as_long_as_the_endpoint_said():
    rests = EndpointRetryAfter()
    assert rests.wait_s(ID, 10.0) == 0.0
    rests.record_retry_after(ID, 13.0)
    assert rests.wait_s(ID, 10.5) == 2.5
    assert rests.wait_s(ID, 13.0) == 0.0


def test_a_shorter_rest_asked_for_later_ends_no_longer_one():
    rests = EndpointRetryAfter()
    rests.record_retry_after(ID, 13.0)
    rests.record_retry_after(ID, 11.0)
    assert rests.wait_s(ID, 10.0) == 3.0


def test_only_rests_that_are_over_are_forgotten():
    rests = EndpointRetryAfter()
    rests.record_retry_after(ID, 13.0)
    rests.sweep(12.0)
    assert rests.wait_s(ID, 12.0) == 1.0
    rests.sweep(13.0)
    assert rests.until_by_id_ == {}
