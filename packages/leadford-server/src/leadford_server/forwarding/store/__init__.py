"""Follow the platform's store and apply the objects read from it.

How long calls wait is decided in `leadford.forwarding.membership`.
"""

from leadford_server.forwarding.store._base import Listing
from leadford_server.forwarding.store._client import (
    ObjectsClient,
    readable,
    readable_record,
    report_unreadable,
)
from leadford_server.forwarding.store._config import ConfigHolder
from leadford_server.forwarding.store._factory import FollowerFactory
from leadford_server.forwarding.store._follow import (
    ENTRIES_KNOWN_S,
    ENTRIES_PAUSE_S,
    ENTRIES_WATCH_S,
    WATCH_S,
    KindFollower,
)
from leadford_server.forwarding.store._halls import (
    WATCH_PART,
    HallsHolder,
)
from leadford_server.forwarding.store._listing import ListingHolder

__all__ = [
    "ConfigHolder",
    "ENTRIES_KNOWN_S",
    "ENTRIES_PAUSE_S",
    "ENTRIES_WATCH_S",
    "FollowerFactory",
    "HallsHolder",
    "KindFollower",
    "Listing",
    "ListingHolder",
    "ObjectsClient",
    "WATCH_PART",
    "WATCH_S",
    "readable",
    "readable_record",
    "report_unreadable",
]
