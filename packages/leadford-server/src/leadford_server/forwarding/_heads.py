"""Record what the head of an endpoint's answer says of the endpoint itself.

Called once for each answer that is read, of requests, calls for pieces and releases
alike, so that nothing an endpoint says is heard on one way and missed on another. What
follows is decided in `leadford.forwarding.endpoints`.
"""

from leadford.events import Event
from leadford.forwarding.endpoints import EndpointRecord
from leadford_server.forwarding._contract import AnswerHead, NotRunCause
from leadford_server.forwarding._state import ForwardState


def record_head(state: ForwardState, record: EndpointRecord, head: AnswerHead) -> None:
    """Record the load that an answer reports, and what it asks of this entry."""
    if head.not_run is NotRunCause.REPLACED:
        # Another process answers; nothing it says is about this endpoint.
        record.record_replaced()
        return
    if head.load is not None:
        record.record_load(head.load, state.now())
    _record_backpressure(state, record, head)


def _record_backpressure(
    state: ForwardState, record: EndpointRecord, head: AnswerHead
) -> None:
    """Record what an answer asks of this entry, and log what is new of it."""
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
