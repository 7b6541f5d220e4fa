"""Spread under which requests endpoints ended, between entries of the own interface.

An entry tells the relays of its hall, which pass news on to the relays of other halls
and to every entry that is connected to them. What is known already goes no further.
"""

from leadford.common import EntryId
from leadford.protocol import PROTOCOL_CRASHES, CrashNews, Message
from leadford_server.peers import PeerConnection
from leadford_server.pipelines.entry._entries import EntryPeers
from leadford_server.quarantine import RequestQuarantine


class CrashExchange:
    """Tell other entries what the quarantine of this one records, and learn theirs."""

    def __init__(self, *, entries: EntryPeers, quarantine: RequestQuarantine) -> None:
        self.entries = entries
        self.quarantine = quarantine
        quarantine.publish_news = self.tell

    def tell(self, news: CrashNews) -> None:
        """Tell the entries that pass news on, and from a relay all that it reaches."""
        found = set(self.entries.relays())
        if self.entries.is_relay():
            found |= self.entries.relays_of_all_halls()
            found |= set(self.entries.accepted_by_id_)
        for entry_id in found:
            peer = self.entries.peer(EntryId(entry_id))
            if peer is not None and _can_read(peer):
                peer.send(news)

    def send_known(self, peer: PeerConnection) -> None:
        """Tell a new peer what is known."""
        known = self.quarantine.news_for_new_peer()
        if known is not None and _can_read(peer):
            peer.send(known)

    def peer_message(self, message: Message) -> bool:
        """Take news of another entry; return whether it was that."""
        if not isinstance(message, CrashNews):
            return False
        news = self.quarantine.apply_news(message)
        if news is not None and self.entries.is_relay():
            self.tell(news)
        return True


def _can_read(peer: PeerConnection) -> bool:
    return peer.info.protocol_version >= PROTOCOL_CRASHES
