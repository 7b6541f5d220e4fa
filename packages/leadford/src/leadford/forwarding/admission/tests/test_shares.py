"""Test the shares of workspaces of what an entry admitted lately."""

from leadford.common import WorkspaceId
from leadford.forwarding.admission._shares import (
    MAX_SHARE_WORKSPACES,
    SHARE_HALF_LIFE_S,
    AdmittedShares,
)
from leadford.forwarding.routes import ServiceId

SERVICE = ServiceId("stage")
LARGE, SMALL, NEW = WorkspaceId("large"), WorkspaceId("small"), WorkspaceId("new")


def shares():
    found = AdmittedShares()
    found.record_admitted(SERVICE, LARGE, 90, 0.0)
    found.record_admitted(SERVICE, SMALL, 10, 0.0)
    return found


def test_a_small_workspace_is_judged_without_the_excess_of_others():
    assert shares().excess_fraction(SERVICE, SMALL, 0.0) == (90 - 50) / 100
    assert shares().excess_fraction(SERVICE, NEW, 0.0) == (90 - 100 / 3) / 100


def test_a_large_workspace_and_requests_without_one_count_all_pieces():
    assert shares().excess_fraction(SERVICE, LARGE, 0.0) == 0.0
    assert shares().excess_fraction(SERVICE, None, 0.0) == 0.0
    assert shares().excess_fraction(ServiceId("other"), SMALL, 0.0) == 0.0


def test_a_workspace_alone_has_no_excess():
    found = AdmittedShares()
    found.record_admitted(SERVICE, LARGE, 90, 0.0)
    assert found.excess_fraction(SERVICE, LARGE, 0.0) == 0.0


def test_shares_fade_and_their_number_is_bounded():
    found = shares()
    assert found.excess_fraction(SERVICE, SMALL, 20 * SHARE_HALF_LIFE_S) == 0.0
    for number in range(10 * MAX_SHARE_WORKSPACES):
        found.record_admitted(SERVICE, WorkspaceId(f"{number}"), 5, 0.0)
    known = found.weights_by_service_[SERVICE].pieces_by_workspace
    assert len(known) == MAX_SHARE_WORKSPACES
