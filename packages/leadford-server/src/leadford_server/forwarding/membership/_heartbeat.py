"""Send one heartbeat, with the parts that each peer needs and can read."""

from collections.abc import Collection

from leadford.common import EntryId
from leadford.forwarding.membership import HeartbeatNews, is_due
from leadford.protocol import (
    PROTOCOL_FLEET,
    PROTOCOL_LIMITS,
    PROTOCOL_LOAD,
    PROTOCOL_PACED,
    AdmittedLevels,
    EntryHeartbeat,
    FleetBacklog,
    FleetLevels,
    LimitNews,
    StoreConfirmations,
)
from leadford_server.forwarding.membership._paces import AddressedPaces
from leadford_server.peers import PeerConnection


class Heartbeat:
    """Hold the content of one heartbeat, and send it to the peers that need it."""

    def __init__(
        self,
        *,
        message: EntryHeartbeat,
        backlog: FleetBacklog | None,
        confirmations: StoreConfirmations | None,
        confirmed_version: int,
        limits: LimitNews | None,
        admitted_levels: AdmittedLevels | None,
        fleet_levels: FleetLevels | None,
        number: int,
        scheduler_ids: Collection[EntryId],
        paces: AddressedPaces | None = None,
    ) -> None:
        self.message = message
        self.scheduler_ids = scheduler_ids
        self.paces = paces
        # Each optional part with the lowest protocol version that can read it.
        self.parts_ = (
            (confirmations, confirmed_version),
            (backlog, PROTOCOL_FLEET),
            (limits, PROTOCOL_LIMITS),
            # After the reports of two levels, which they refine.
            (admitted_levels, PROTOCOL_LOAD),
            (fleet_levels, PROTOCOL_LOAD),
        )
        is_for_all_peers = bool(
            backlog or confirmations or message.refused or message.is_draining
        )
        self.news_ = HeartbeatNews(number, is_for_all_peers)

    def send(self, peer: PeerConnection) -> None:
        """Send to a peer the parts that it needs and can read, if it is due."""
        version = peer.info.protocol_version
        if not is_due(
            self.news_,
            is_scheduler=peer.info.peer_id in self.scheduler_ids,
            peer_skips_heartbeats=version >= PROTOCOL_PACED,
        ):
            return
        peer.send(self.message)
        for part, min_version in self.parts_:
            if part is not None and version >= min_version:
                peer.send(part)
        if self.paces is not None:
            self.paces.send(peer)
