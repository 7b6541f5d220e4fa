"""Choose which agents keep the note of where a request runs."""

from leadford.common import EndpointId, RequestId, rendezvous_order

NOTE_KEEPERS = 2


def choose_keepers(
    request_id: RequestId, endpoint_ids: list[EndpointId]
) -> list[EndpointId]:
    """Return the agents that every entry computes for a request id."""
    return rendezvous_order(request_id, endpoint_ids)[:NOTE_KEEPERS]
