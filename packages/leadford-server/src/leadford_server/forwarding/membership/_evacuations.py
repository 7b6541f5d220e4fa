"""Tell other entries which halls are evacuated, and hear it from them.

Does nothing where the deployment has no bound on evacuations. `store/_halls` holds what
is known.
"""

from collections.abc import Mapping

from leadford.common import EntryId
from leadford.protocol import (
    PROTOCOL_EPOCHS,
    PROTOCOL_EVACUATIONS,
    EvacuationReport,
)
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.store import HallsHolder
from leadford_server.peers import PeerConnection


class EvacuationExchange:
    """Send reports of evacuated halls, and record those of other entries."""

    def __init__(
        self,
        *,
        state: ForwardState,
        peers_by_id: Mapping[EntryId, PeerConnection],
        halls: HallsHolder,
    ) -> None:
        self.state = state
        self.peers_by_id = peers_by_id
        self.halls = halls

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message that this exchange receives."""
        return {EvacuationReport: self._on_report}

    def tell(self, report: EvacuationReport) -> None:
        """Send every peer the evacuated halls."""
        for peer in list(self.peers_by_id.values()):
            self._send(peer, report)

    def send_known(self, peer: PeerConnection) -> None:
        """Send a new peer the halls that are known to be evacuated."""
        report = self.halls.report()
        if report is not None:
            self._send(peer, report)

    def _send(self, peer: PeerConnection, report: EvacuationReport) -> None:
        """Send a report to a peer, if its build can read the message."""
        has_evacuations = self.state.bounds.evacuate_s is not None
        can_read = peer.info.protocol_version >= PROTOCOL_EVACUATIONS
        if has_evacuations and can_read:
            peer.send(report)

    def _on_report(self, peer: PeerConnection, message: EvacuationReport) -> None:
        version = peer.info.protocol_version
        self.halls.learn(
            message, peer.info.peer_id, has_epochs=version >= PROTOCOL_EPOCHS
        )
