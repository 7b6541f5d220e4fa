"""Choose the entries that hold replicas of the origin of a stream.

All entries choose alike without a message, by rendezvous hashing over the entries that
every entry is linked to. If a replica is lost, the next one in order takes its place.
"""

import heapq
from collections.abc import Iterable

from leadford.common import EntryId, RequestId, rendezvous_weight

# Number of entries that hold an origin beside the one that recorded it.
REPLICA_COUNT = 3


def origin_replicas(
    request_id: RequestId, candidates: Iterable[EntryId]
) -> list[EntryId]:
    """Return the entries that hold the origin of the stream of a request."""
    # Not `rendezvous_order`: its cache would fill with keys that are used once.
    return heapq.nsmallest(
        REPLICA_COUNT,
        candidates,
        key=lambda entry_id: (-rendezvous_weight(request_id, entry_id), entry_id),
    )
