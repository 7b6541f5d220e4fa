"""Spread under which requests endpoints ended, so that all entries know it at once.

An entry tells the peers that it holds links to, in the turn of the loop in which it saw
an endpoint end. Those that follow the store pass news on to all their peers, because
every entry holds a link to them; what is known already goes no further. A new peer is
told what is known, so one that starts later knows as much.
"""

from collections.abc import Callable, Mapping

from leadford.common import EntryId
from leadford.protocol import PROTOCOL_CRASHES, CrashNews
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.peers import PeerConnection


class CrashExchange:
    """Tell other entries what the quarantine of this one records, and learn theirs.

    `passes_on` tells whether this entry passes on what others tell it.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        peers_by_id: Mapping[EntryId, PeerConnection],
        passes_on: Callable[[], bool],
    ) -> None:
        self.state = state
        self.peers_by_id = peers_by_id
        self.passes_on = passes_on
        self.waiting_: list[CrashNews] = []

    def handlers(self) -> MessageHandlers:
        """Return what handles each kind of message here."""
        return {CrashNews: self._on_news}

    def tell(self, news: CrashNews) -> None:
        """Tell every peer, together with all else that this turn of the loop shows."""
        if not self.waiting_:
            self.state.loop.call_soon(self._send_waiting)
        self.waiting_.append(news)

    def send_known(self, peer: PeerConnection) -> None:
        """Tell a new peer what is known."""
        known = self.state.quarantine_.known()
        if known is not None and _can_read(peer):
            peer.send(known)

    def _send_waiting(self) -> None:
        news = CrashNews(
            [case for part in self.waiting_ for case in part.cases],
            [endpoint_id for part in self.waiting_ for endpoint_id in part.alive],
            [digest for part in self.waiting_ for digest in part.answered],
        )
        self.waiting_.clear()
        for peer in list(self.peers_by_id.values()):
            if _can_read(peer):
                peer.send(news)

    def _on_news(self, peer: PeerConnection, message: CrashNews) -> None:
        news = self.state.quarantine_.learn(message)
        if news is not None and self.passes_on():
            self.tell(news)


def _can_read(peer: PeerConnection) -> bool:
    return peer.info.protocol_version >= PROTOCOL_CRASHES
