"""Record what the head of an endpoint's answer says of the endpoint itself.

Called once for each answer that is read, of requests, calls for pieces and releases
alike, so that nothing an endpoint says is heard on one way and missed on another. What
follows is decided in `leadford.forwarding.endpoints`.
"""

from leadford.events import Event
from leadford.forwarding.endpoints import EndpointRecord
from leadford_server.forwarding._contract import AnswerHead, NotRunCause
from leadford_server.forwarding._state import ForwardState


def record_head(
    state: ForwardState, record: EndpointRecord, head: AnswerHead, *, sent_at: float
) -> None:
    """Record the load that an answer reports, and what it asks of this entry.

    Units: sent_at in seconds of the monotonic clock, when it was asked for.
    """
    if head.not_run is NotRunCause.REPLACED:
        # Another process answers; nothing it says is about this endpoint.
        record.record_replaced()
        return
    if head.load is not None:
        record.record_load(head.load, state.now())
    state.limits_.record_answer(
        record.listed.endpoint_id,
        head.backpressure.limit_per_s,
        sent_at=sent_at,
        now=state.now(),
    )
    if head.backpressure.rest_s is not None:
        until = state.now() + head.backpressure.rest_s
        state.rests_.record_asked(record.listed.endpoint_id, until)
    if head.backpressure.is_leaving:
        # The listing may say so much later, or never.
        state.roster_.record_leaving(record.listed.endpoint_id)
    _log_backpressure(state, record, head)


def _log_backpressure(
    state: ForwardState, record: EndpointRecord, head: AnswerHead
) -> None:
    """Log what is new of what an endpoint asks."""
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
