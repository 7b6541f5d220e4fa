"""Decide which streams an entry records in the store, and how often it writes them.

While streams of a service may have begun at several versions, an entry records the
origins of the streams that it holds, all in one object.
"""

from collections.abc import Iterable, Mapping

import msgspec

from leadford.common import RequestId
from leadford.forwarding.streams._origin import StreamOrigin

# Minimum time between two writes of one entry.
MIN_WRITE_INTERVAL_S = 0.25
# Fraction of the writes that the store serves to all entries.
WRITE_FRACTION = 0.1
# The newest origins are recorded up to this number, and longer ids are left out, so
# that an object stays below 1 MB.
MAX_RECORDED_STREAMS = 10_000
MAX_RECORDED_ID_CHARS = 64


class RecordedStreams(msgspec.Struct, frozen=True):
    """Hold the origins of streams that one entry recorded.

    Units: wait_s is for how long the longest of their callers may wait, in seconds.
    """

    origins_by_id: Mapping[RequestId, StreamOrigin]
    wait_s: float


def write_interval_s(entry_count: int, store_writes_per_s: float) -> float:
    """Return the time between two writes of an entry, in seconds.

    All entries together use a fraction of what the store serves.
    """
    return max(
        MIN_WRITE_INTERVAL_S,
        entry_count / max(1.0, WRITE_FRACTION * store_writes_per_s),
    )


def recordable_ids(request_ids: Iterable[RequestId]) -> list[RequestId]:
    """Return the ids to record of some, the oldest of which come first."""
    found = [id_ for id_ in request_ids if len(id_) <= MAX_RECORDED_ID_CHARS]
    return found[-MAX_RECORDED_STREAMS:]
