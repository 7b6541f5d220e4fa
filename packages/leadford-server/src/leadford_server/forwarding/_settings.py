"""Hold the settings of an entry that forwards, as the adapter reads them."""

import msgspec

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import RegionMap
from leadford_server.forwarding._state import ForwardBounds
from leadford_server.settings import SocketAddress


class ForwardSettings(msgspec.Struct, frozen=True):
    """Hold the settings of an entry that forwards.

    `is_first_start` is True while the whole deployment starts for the first time.
    """

    entry_id: EntryId
    hall: HallId
    callers: SocketAddress
    ready: SocketAddress
    peers: SocketAddress
    store_url: str
    secret: bytes
    bounds: ForwardBounds
    metrics: SocketAddress | None = None
    regions: RegionMap = RegionMap()
    is_first_start: bool = False
