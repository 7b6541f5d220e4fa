"""Record what the head of an endpoint's answer says about the endpoint itself.

Called once for each answer that is read, whether to a request, a call for pieces or a
release, so that what an endpoint says is recorded alike for all three.
`leadford.forwarding.endpoints` decides what follows.
"""

from leadford.events import Event
from leadford.forwarding.endpoints import EndpointRecord, EndpointReport
from leadford_server.forwarding._contract import AnswerHead, NotRunCause
from leadford_server.forwarding._state import ForwardState
from leadford_server.metrics import ENDPOINT_PACE, MALFORMED_REPORTS_TOTAL


def record_head(
    state: ForwardState,
    record: EndpointRecord,
    head: AnswerHead,
    *,
    sent_at: float,
    expects_version: bool = False,
) -> None:
    """Record the load and the backpressure that an answer reports.

    `expects_version` tells whether the request named a version of the weights, which
    the endpoint itself may refuse.

    Units: sent_at in seconds of the monotonic clock, when the request was sent.
    """
    if head.not_run is NotRunCause.REPLACED:
        # Another process may have answered, which says nothing about this endpoint.
        if not expects_version:
            record.mark_replaced()
        return
    record.answered_at_ = state.now()
    if head.report is not None:
        _record_report(state, record, head.report)
    state.endpoint_limits_.record_answer(
        record.listed.endpoint_id,
        head.backpressure.limit_per_s,
        sent_at=sent_at,
        now=state.now(),
    )
    if head.backpressure.rest_s is not None:
        until = state.now() + head.backpressure.rest_s
        state.endpoint_retry_after_.record_retry_after(record.listed.endpoint_id, until)
    if head.backpressure.is_leaving:
        # The listing may report this much later, or never.
        state.roster_.record_leaving(record.listed.endpoint_id)
    _log_backpressure(state, record, head)


def _record_report(
    state: ForwardState, record: EndpointRecord, report: EndpointReport
) -> None:
    """Record what an endpoint reports of itself."""
    if report.is_malformed:
        MALFORMED_REPORTS_TOTAL.labels(record.listed.service_id).inc()
    if report.load is not None:
        record.record_load(report.load, state.now())
    if report.pace is not None:
        record.pace_.record_reported(report.pace, state.now())
        pace = record.pace_.estimate(state.now())
        ENDPOINT_PACE.labels(record.listed.service_id).observe(pace)


def _log_backpressure(
    state: ForwardState, record: EndpointRecord, head: AnswerHead
) -> None:
    """Log the backpressure of an endpoint if it changed."""
    asked = head.backpressure
    if not record.record_backpressure(asked):
        return
    state.log.report(
        Event.ENDPOINT_BACKPRESSURE,
        endpoint=record.listed.endpoint_id,
        service=record.listed.service_id,
        status=head.status,
        limit_per_s=asked.limit_per_s,
        rest_s=asked.rest_s,
        leaving=asked.is_leaving,
    )
