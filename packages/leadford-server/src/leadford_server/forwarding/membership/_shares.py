"""Tell entries which of them gets most of the callers.

Every entry reports its rate of requests to a few entries that all are linked to. These
tell all their peers which entry is the busiest, each second while there is one. The
rules are in `leadford.forwarding.membership`.
"""

from collections.abc import Callable, Mapping

from leadford.common import EntryId
from leadford.forwarding.endpoints import BusiestEntry
from leadford.forwarding.membership import ReportedRates
from leadford.protocol import PROTOCOL_SHARES, BusiestEntryNews, RequestRateReport
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.metrics import BUSIEST_FRACTION
from leadford_server.peers import PeerConnection

# Entries that sum the rates of all; one may be lost or cut off.
SUMMING_ENTRIES = 3
# Seconds between two tellings of the busiest entry.
TELL_INTERVAL_S = 0.9


class ShareExchange:
    """Report the rate of this entry, and tell or record which one is the busiest.

    `common_peers` returns the entries to which all others hold links, this one
    included; `entry_count` the number of entries that exist.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        peers_by_id: Mapping[EntryId, PeerConnection],
        common_peers: Callable[[], set[EntryId]],
        entry_count: Callable[[], int],
    ) -> None:
        self.state = state
        self.peers_by_id = peers_by_id
        self.common_peers = common_peers
        self.entry_count = entry_count
        self.rates_ = ReportedRates()
        self.told_at_ = float("-inf")

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message that this exchange receives."""
        return {
            RequestRateReport: self._on_rate,
            BusiestEntryNews: self._on_busiest,
        }

    def refresh(self) -> None:
        """Report the rate of this entry, and tell which one is the busiest.

        Called with each heartbeat.
        """
        self._report_rate()
        now = self.state.now()
        if now - self.told_at_ >= TELL_INTERVAL_S:
            self._tell_busiest(now)
        busiest = self.state.load_shares_.busiest(now)
        BUSIEST_FRACTION.set(0.0 if busiest is None else busiest.fraction)
        self.state.apply_shares()

    def forget(self, entry_id: EntryId) -> None:
        """Record that the link to an entry ended or began anew."""
        self.rates_.forget(entry_id)

    def _report_rate(self) -> None:
        now = self.state.now()
        per_s = self.state.request_rate_.take_report(now)
        if per_s is None:
            return
        for entry_id in self._summing_ids():
            if entry_id == self.state.entry_id:
                self.rates_.record(entry_id, per_s, now)
                continue
            peer = self.peers_by_id.get(entry_id)
            if peer is not None and _supports_shares(peer):
                peer.send(RequestRateReport(round(per_s, 2)))

    def _summing_ids(self) -> list[EntryId]:
        return sorted(self.common_peers())[:SUMMING_ENTRIES]

    def _tell_busiest(self, now: float) -> None:
        if self.state.entry_id not in self._summing_ids():
            return
        busiest = self.rates_.busiest(self.entry_count(), now)
        if busiest is None:
            return
        self.told_at_ = now
        self.state.load_shares_.record(busiest, now)
        news = BusiestEntryNews(busiest.entry_id, busiest.fraction)
        for peer in list(self.peers_by_id.values()):
            if _supports_shares(peer):
                peer.send(news)

    def _on_rate(self, peer: PeerConnection, message: RequestRateReport) -> None:
        entry_id = EntryId(peer.info.peer_id)
        self.rates_.record(entry_id, message.per_s, self.state.now())

    def _on_busiest(self, peer: PeerConnection, message: BusiestEntryNews) -> None:
        fraction = min(1.0, max(0.0, message.fraction))
        busiest = BusiestEntry(EntryId(message.entry_id), fraction)
        self.state.load_shares_.record(busiest, self.state.now())


def _supports_shares(peer: PeerConnection) -> bool:
    return peer.info.protocol_version >= PROTOCOL_SHARES
