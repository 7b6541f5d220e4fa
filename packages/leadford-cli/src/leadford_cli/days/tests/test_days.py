"""Each loss of a day has one cause; its bound is no less than what was served."""

import json

import pytest

from leadford_cli.days import (
    LossCause,
    caller_requests,
    read_day,
    service_bounds,
)


def ended(at_s, *, fingerprint="f", **fields):
    record = {
        "event": 406,
        "route": "r",
        "fingerprint": fingerprint,
        "outcome": "answered",
        "reason": "answered",
        "detail": "",
        "aim_ms": 1_000.0,
        "caller_ms": 6_000.0,
        "gap_aim_ms": 200.0,
        "pause_ms": 50,
        "work": "stage:2",
        "stages_ms": 500,
        "first_ms": 700,
        "took_ms": 900,
        **fields,
    }
    return f"  {at_s} entry-1 {json.dumps(record)}"


def refused(at_s, **fields):
    return ended(
        at_s,
        **{"outcome": "refused", "reason": "not-admitted", "took_ms": 0, **fields},
    )


def call(at_s, pieces, took_ms, **fields):
    record = {
        "event": 407,
        "service": "stage",
        "pieces": pieces,
        "batch": 5,
        "waited_ms": 10,
        "took_ms": took_ms,
        "outcome": "done",
        **fields,
    }
    return f"  {at_s} entry-1 {json.dumps(record)}"


def listed(at_s, endpoint, after="ready"):
    record = {"event": 304, "service": "stage", "endpoint": endpoint, "after": after}
    return f" {at_s} entry-1 {json.dumps(record)}"


@pytest.mark.parametrize(
    ("lines", "cause"),
    [
        ([ended(2.0)], LossCause.IN_TIME),
        ([ended(2.0, pause_ms=250)], LossCause.PAUSED),
        ([ended(2.0, stages_ms=990, first_ms=1_100)], LossCause.STAGES_LATE),
        ([ended(2.0, stages_ms=500, first_ms=1_100)], LossCause.ENGINE_LATE),
        ([refused(2.0)], LossCause.REFUSED),
        ([refused(2.0), refused(3.0)], LossCause.REFUSED_AGAIN),
        ([refused(2.0), ended(4.0)], LossCause.RETURNED_LATE),
        # A return that is in time counts from the first try.
        ([refused(2.0), ended(3.0)], LossCause.IN_TIME),
        (
            [ended(2.0, outcome="refused", reason="stages-failed")],
            LossCause.STAGES_FAILED,
        ),
        ([ended(2.0, outcome="late", reason="out-of-time")], LossCause.OUT_OF_TIME),
        ([ended(2.0, outcome="failed", reason="fault")], LossCause.OTHER),
    ],
)
def test_a_request_has_one_cause(lines, cause):
    (request,) = caller_requests(read_day(lines).ends)
    assert request.cause is cause


def test_requests_without_stages_and_lines_that_were_cut_are_left_out():
    day = read_day([ended(1.0, work=""), '  2.0 entry-1 {"event": 406, "rou', "text"])
    assert caller_requests(day.ends) == []


def day_under_load(requests, *, endpoints=1):
    """Return a day in which requests for two pieces each come at second 1."""
    lines = [listed(-1.0, f"i-{number}") for number in range(endpoints)]
    lines += [call(1.0, 5, 1_000), call(2.0, 3, 800)]
    lines += [
        ended(2.0, fingerprint=f"f{number}", took_ms=1_000)
        for number in range(requests)
    ]
    return read_day([*lines, ended(9.0, fingerprint="later")])


def test_a_bound_is_what_full_calls_make_between_coming_and_aim():
    day = day_under_load(8)
    requests = caller_requests(day.ends)
    (bound,) = service_bounds(day, requests, {})
    assert (bound.batch, bound.full_call_s) == (5, 1.0)
    # Five pieces a second and slices of half a second: three slices, 7.5 of 16 pieces,
    # and the request that comes alone later.
    assert bound.part == pytest.approx((3.75 + 1.0) / 9.0)


def test_more_endpoints_and_more_valuable_requests_raise_the_bound():
    requests = caller_requests(day_under_load(8).ends)
    low = service_bounds(day_under_load(8), requests, {})[0].part
    high = service_bounds(day_under_load(8, endpoints=2), requests, {})[0].part
    assert high > low
    assert service_bounds(day_under_load(2), requests[:2], {})[0].part == 1.0


def test_endpoints_that_left_make_nothing():
    lines = [listed(-1.0, "i"), listed(0.5, "i", "gone"), call(0.4, 5, 1_000)]
    day = read_day([*lines, ended(2.0, took_ms=1_000), ended(5.0, fingerprint="g")])
    (bound,) = service_bounds(day, caller_requests(day.ends), {})
    assert bound.part == 0.0
