"""Share between entries which requests were running when an endpoint crashed.

An entry notifies its linked peers in the event loop iteration in which it saw an
endpoint end. Entries that follow the store forward news to all their peers, because
every entry holds a link to them; news that is known already is not forwarded. A new
peer receives all that is known, so an entry that starts later knows as much.
"""

from collections.abc import Callable, Mapping

from leadford.common import EntryId
from leadford.protocol import PROTOCOL_CRASHES, CrashNews
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.peers import PeerConnection


class CrashExchange:
    """Send other entries what the quarantine of this one records, and record theirs.

    `forwards_news` returns whether this entry forwards news that it receives.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        peers_by_id: Mapping[EntryId, PeerConnection],
        forwards_news: Callable[[], bool],
    ) -> None:
        self.state = state
        self.peers_by_id = peers_by_id
        self.forwards_news = forwards_news
        self.pending_: list[CrashNews] = []

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message that this exchange receives."""
        return {CrashNews: self._on_news}

    def tell(self, news: CrashNews) -> None:
        """Send news to every peer, in one message per event loop iteration."""
        if not self.pending_:
            self.state.loop.call_soon(self._send_pending)
        self.pending_.append(news)

    def send_known(self, peer: PeerConnection) -> None:
        """Send a new peer all that is known."""
        known = self.state.quarantine_.news_for_new_peer()
        if known is not None and _supports_crash_news(peer):
            peer.send(known)

    def _send_pending(self) -> None:
        news = CrashNews(
            [case for part in self.pending_ for case in part.cases],
            [endpoint_id for part in self.pending_ for endpoint_id in part.alive],
            [digest for part in self.pending_ for digest in part.answered],
        )
        self.pending_.clear()
        for peer in list(self.peers_by_id.values()):
            if _supports_crash_news(peer):
                peer.send(news)

    def _on_news(self, peer: PeerConnection, message: CrashNews) -> None:
        news = self.state.quarantine_.apply_news(message)
        if news is not None and self.forwards_news():
            self.tell(news)


def _supports_crash_news(peer: PeerConnection) -> bool:
    return peer.info.protocol_version >= PROTOCOL_CRASHES
