"""A stream that nobody knows goes on only where a single version can have begun it."""

import pytest

from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams import (
    MIN_SOLE_S,
    SoftwareHistory,
    SoleSoftware,
    confirmed_software,
    sole_horizon_s,
)
from leadford.forwarding.streams._ledger import MAX_ORIGIN_AGE_S

SERVICE, OTHER = ServiceId("s"), ServiceId("other")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")


def sole(history, listed, now, horizon_s=30.0):
    return history.sole(SERVICE, listed, horizon_s=horizon_s, now=now)


def history_since(began_at):
    history = SoftwareHistory()
    history.begin(began_at)
    return history


def test_a_version_is_the_only_one_once_others_are_long_gone():
    history = history_since(0.0)
    assert sole(history, [V1, V2], 100.0) is None
    history.record_gone(SERVICE, V2, 100.0)
    assert sole(history, [V1], 130.0) is None
    assert sole(history, [V1], 130.1) == SoleSoftware(V1, 130.1)


@pytest.mark.parametrize("listed", [[], [None], [V1, None]])
def test_a_version_that_is_not_known_may_be_any(listed):
    assert sole(history_since(0.0), listed, 100.0) is None


def test_nothing_is_known_before_the_first_listing():
    assert sole(SoftwareHistory(), [V1], 100.0) is None


def test_versions_that_no_caller_can_have_seen_are_forgotten():
    history = history_since(0.0)
    for number in range(100):
        history.record_gone(SERVICE, SoftwareVersion(f"v{number}"), 10.0 * number)
    kept_s = MAX_ORIGIN_AGE_S
    assert len(history.gone_at_by_version_) <= kept_s / 10.0 + 1.0
    assert sole(history, [SoftwareVersion("v99")], 990.0, horizon_s=kept_s) is None


def test_versions_of_other_services_do_not_count():
    history = history_since(0.0)
    history.record_gone(OTHER, V2, 99.0)
    history.record_gone(SERVICE, None, 99.0)
    assert sole(history, [V1], 100.0) == SoleSoftware(V1, 100.0)


@pytest.mark.parametrize(
    ("recorded", "views", "confirmed"),
    [
        (V1, [SoleSoftware(V1, 0.0)], V1),
        (V1, [SoleSoftware(V1, 0.0), SoleSoftware(V1, 99.0)], V1),
        (V1, [SoleSoftware(V1, 99.0), SoleSoftware(V2, 0.0)], None),
        (V1, [SoleSoftware(V1, 99.0), None], None),
        # However long entries have listed one version alone.
        (None, [SoleSoftware(V1, 1e9)], None),
        (None, [None], None),
    ],
)
def test_a_version_that_the_store_does_not_name_alone_is_not_guessed(
    recorded, views, confirmed
):
    assert confirmed_software(recorded, views) == confirmed


def test_a_version_must_be_alone_for_as_long_as_any_caller_waits():
    assert sole_horizon_s(5.0) == MIN_SOLE_S
    assert sole_horizon_s(300.0) == 300.0


def test_where_no_wait_is_known_a_version_must_be_alone_for_the_longest_of_all():
    assert sole_horizon_s(None) == MAX_ORIGIN_AGE_S
