"""What an answer reports of its endpoint is recorded, and what is malformed counted."""

import pytest

from leadford.common import EndpointId, HallId
from leadford.forwarding.endpoints import (
    EndpointAddress,
    EndpointRecord,
    EndpointReport,
    ListedEndpoint,
    ListedState,
    ReportedLoad,
)
from leadford.forwarding.routes import ServiceId
from leadford_server.forwarding import AnswerHead, NotRunCause
from leadford_server.forwarding._heads import record_head
from leadford_server.forwarding._state import ForwardBounds
from leadford_server.forwarding.tests.test_state import Clock, new_state
from leadford_server.metrics import MALFORMED_REPORTS_TOTAL

LOAD = ReportedLoad(3, 0, 8)


def new_record(service_id):
    listed = ListedEndpoint(
        endpoint_id=EndpointId("a"),
        service_id=ServiceId(service_id),
        address=EndpointAddress("10.0.0.1:80"),
        hall=HallId("h"),
        state=ListedState.READY,
        slots=8,
    )
    return EndpointRecord(listed=listed)


def answer(report, not_run=None):
    return AnswerHead(200, "OK", [], None, not_run, False, True, False, None, report, 1)


@pytest.mark.parametrize(
    ("report", "load", "malformed"),
    [
        (None, None, 0),
        (EndpointReport(LOAD), LOAD, 0),
        (EndpointReport(LOAD, is_malformed=True), LOAD, 1),
        (EndpointReport(is_malformed=True), None, 1),
    ],
)
def test_a_malformed_report_is_counted_and_its_valid_part_recorded(
    report, load, malformed
):
    state = new_state(Clock(10.0), ForwardBounds())
    record = new_record("malformed-reports")
    counter = MALFORMED_REPORTS_TOTAL.labels("malformed-reports")
    before = counter._value.get()
    record_head(state, record, answer(report), sent_at=9.0)
    assert record.load_ == load
    assert counter._value.get() - before == malformed


def test_the_report_of_another_process_is_not_recorded():
    state = new_state(Clock(10.0), ForwardBounds())
    record = new_record("replaced")
    head = answer(EndpointReport(LOAD, 1.7), NotRunCause.REPLACED)
    record_head(state, record, head, sent_at=9.0)
    assert record.load_ is None
