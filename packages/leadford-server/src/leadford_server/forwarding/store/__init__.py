"""Follow the platform's store and apply the objects read from it.

How long calls wait is decided in `leadford.forwarding.membership`.
"""

from leadford_server.forwarding.store._base import Listing
from leadford_server.forwarding.store._catch_up import CatchUp
from leadford_server.forwarding.store._client import (
    ObjectsClient,
    decoded_or_none,
    decoded_record_or_none,
    report_unreadable,
)
from leadford_server.forwarding.store._config import ConfigHolder
from leadford_server.forwarding.store._factory import FollowerFactory
from leadford_server.forwarding.store._follow import (
    ENTRIES_CHANGE_BOUND_S,
    ENTRIES_PAUSE_S,
    ENTRIES_WATCH_S,
    WATCH_MAX_S,
    KindFollower,
)
from leadford_server.forwarding.store._halls import (
    WATCH_FRACTION,
    HallsHolder,
)
from leadford_server.forwarding.store._listing import ListingHolder
from leadford_server.forwarding.store._software import SoftwareRecords
from leadford_server.forwarding.store._streams import StreamRecords

__all__ = [
    "CatchUp",
    "ConfigHolder",
    "ENTRIES_CHANGE_BOUND_S",
    "ENTRIES_PAUSE_S",
    "ENTRIES_WATCH_S",
    "FollowerFactory",
    "HallsHolder",
    "KindFollower",
    "Listing",
    "ListingHolder",
    "ObjectsClient",
    "SoftwareRecords",
    "StreamRecords",
    "WATCH_FRACTION",
    "WATCH_MAX_S",
    "decoded_or_none",
    "decoded_record_or_none",
    "report_unreadable",
]
