"""Requests that cannot meet their deadline are refused before they run."""

import pytest

from leadford.common import RefusalReason
from leadford.pipelines.admission import (
    Deferral,
    EndpointAdmission,
    EntitlementLedger,
    EntryAdmission,
    Headroom,
    PoolForecast,
    StageNeed,
    forecast_pool,
)
from leadford.pipelines.queues import QueuedAttempt, WorkspaceTerms, queue_policies
from leadford.pipelines.routing import ClassWait, EndpointView, LoadReport


def make_admission(queue_limit=100):
    queue = queue_policies.get("weighted_fair").from_config(
        terms=lambda workspace: WorkspaceTerms()
    )
    admission = EndpointAdmission(queue=queue, concurrency=2, queue_limit=queue_limit)
    for _ in range(50):
        admission.estimate_.record("s", 100.0, 0)
    return admission


def item(key="k", priority=4, deadline_at=1.0):
    return QueuedAttempt(key, "w", priority, deadline_at, 100.0, 0.0)


def arrival(admission, queued, running=2, tail_ms=0.0):
    return admission.check_arrival(queued, tail_ms=tail_ms, running=running, now=0.0)


def test_an_idle_endpoint_takes_what_fits():
    admission = make_admission()
    assert arrival(admission, item(), running=1) is None
    late = item(deadline_at=0.05)
    assert arrival(admission, late, running=1) is RefusalReason.DEADLINE


def test_an_idle_endpoint_tries_whatever_it_was_like_before():
    admission = make_admission()
    assert arrival(admission, item(deadline_at=0.05), running=0) is None
    past = item(deadline_at=-0.1)
    assert arrival(admission, past, running=0) is RefusalReason.DEADLINE


def test_the_queue_ahead_and_later_stages_count():
    admission = make_admission()
    assert arrival(admission, item()) is None
    assert arrival(admission, item(), tail_ms=900.0) is RefusalReason.DEADLINE
    for number in range(20):
        admission.queue.push(item(f"q{number}"))
    assert arrival(admission, item()) is RefusalReason.DEADLINE
    assert arrival(admission, item(priority=0)) is None


def test_a_full_queue_refuses():
    admission = make_admission(queue_limit=1)
    admission.queue.push(item("q"))
    assert arrival(admission, item(priority=0)) is RefusalReason.QUEUE_FULL


def test_what_waited_too_long_is_not_begun():
    admission = make_admission()
    start = admission.check_start(
        item(deadline_at=1.0), tail_ms=0.0, running=1, now=0.95
    )
    assert start is RefusalReason.DEADLINE


def decide(wait_ms, remaining_ms=500.0, live=0):
    forecasts = [PoolForecast(wait_ms, 10.0), PoolForecast(0.0, 200.0)]
    return EntryAdmission().decide(forecasts, remaining_ms=remaining_ms, live=live)


def test_an_entry_predicts_the_whole_pipeline():
    assert decide(0.0).reason is None
    assert decide(0.0).predicted_ms == pytest.approx(210.0)
    refused = decide(1000.0)
    assert refused.reason is RefusalReason.DEADLINE
    assert 100.0 <= refused.retry_after_ms <= 1000.0
    assert decide(0.0, live=10_000).reason is RefusalReason.QUEUE_FULL


def test_a_pool_without_endpoints_refuses_at_once():
    verdict = EntryAdmission().decide([None], remaining_ms=1000.0, live=0)
    assert verdict.reason is RefusalReason.NO_ENDPOINT


NEED = StageNeed("engines", 20.0, expected_tokens=2)


def make_view(**report):
    view = EndpointView(endpoint_id="e", hall="h")
    view.record_report(LoadReport(**report))
    return view


def test_waits_are_forecast_by_priority_and_fade_with_the_report():
    waiting = (ClassWait(0, 100.0), ClassWait(5, 700.0))
    view = make_view(queued=9, running=1, classes=waiting)
    assert forecast_pool([view], NEED, 5, 0.0).wait_ms == pytest.approx(800.0)
    assert forecast_pool([view], NEED, 1, 0.0).wait_ms == pytest.approx(100.0)
    assert forecast_pool([view], NEED, 5, 1.0).wait_ms == pytest.approx(400.0)
    assert forecast_pool([view], NEED, 5, 20.0).wait_ms == 0.0
    assert forecast_pool([], NEED, 5, 0.0) is None


def test_a_slow_endpoint_does_not_speak_for_its_pool():
    slow = make_view(token_ms=500.0)
    busy = make_view(queued=4, running=1, service_ms=20.0, token_ms=10.0)
    forecast = forecast_pool([slow, busy], NEED, 5, 0.0)
    assert forecast.service_ms == pytest.approx(20.0)


def test_an_old_service_time_does_not_refuse_for_ever():
    slow = make_view(token_ms=500.0)
    assert forecast_pool([slow], NEED, 5, 0.0).service_ms == pytest.approx(1000.0)
    assert forecast_pool([slow], NEED, 5, 3.0).service_ms == pytest.approx(20.0)


def test_room_is_kept_for_the_urgent_work_that_is_usually_there():
    headroom = Headroom(time_constant_s=1.0)
    now = 0.0
    for _ in range(200):
        for _ in range(2):
            headroom.record_arrived(1, now)
            headroom.record_started(1)
        now += 0.1
        for _ in range(2):
            headroom.record_left(1, now, ran=True)
    assert headroom.reserved(5, now) == 2
    assert not headroom.admits(5, running=6, concurrency=8, now=now)
    assert headroom.admits(1, running=7, concurrency=8, now=now)
    assert headroom.admits(5, running=5, concurrency=8, now=now)
    assert headroom.admits(5, running=0, concurrency=1, now=now)
    assert headroom.admits(5, running=7, concurrency=8, now=now + 10.0)


@pytest.mark.parametrize(
    ("loads", "remaining_ms", "held"),
    [
        ([1.0, 0.9], 5000.0, True),
        ([1.0, 0.2], 5000.0, False),
        ([1.0, 0.9], 2000.0, False),
        ([], 5000.0, False),
    ],
)
def test_patient_work_waits_only_for_a_full_pool_and_while_it_can(
    loads, remaining_ms, held
):
    deferral = Deferral()
    assert (
        deferral.holds_back(loads, remaining_ms=remaining_ms, needed_ms=1000.0) is held
    )


def test_a_workspace_is_entitled_within_its_share_of_what_is_live():
    terms = {"small": WorkspaceTerms(1.0, 0.0), "kept": WorkspaceTerms(1.0, 0.6)}
    ledger = EntitlementLedger(terms=lambda w: terms.get(w, WorkspaceTerms()))
    for _ in range(30):
        ledger.record_began("greedy")
    assert not ledger.is_entitled("greedy")
    assert ledger.is_entitled("small")
    for _ in range(31):
        ledger.record_began("small")
    assert not ledger.is_entitled("small")
    assert ledger.is_entitled("greedy")
    for _ in range(31):
        ledger.record_ended("small")
    for _ in range(40):
        ledger.record_began("kept")
    assert ledger.is_entitled("kept")
    assert len(ledger.live_by_workspace_) == 2
