"""The time to the first byte is estimated separately for each service."""

import pytest

from leadford.forwarding.endpoints import FirstByteTimes
from leadford.forwarding.routes import ServiceId


def test_each_service_has_its_own_time_and_begins_with_a_guess():
    times = FirstByteTimes()
    for _ in range(50):
        times.record(ServiceId("slow"), 1.0)
    assert times.expected_s(ServiceId("slow")) == pytest.approx(1.0, abs=0.05)
    assert times.expected_s(ServiceId("other")) == 0.15
