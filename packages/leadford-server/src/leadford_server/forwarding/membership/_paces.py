"""Report the pace of endpoints to other entries, and record what they report.

Heartbeats carry the paces. Entries that schedule groups or place prompts decide by
them: all entries report to these, and these report to all.
`leadford.forwarding.endpoints` decides which paces are reported. The record of each
endpoint keeps what others report.
"""

from collections.abc import Collection

from leadford.common import EndpointId, EntryId
from leadford.forwarding.endpoints import (
    MAX_REPORTED_PACES,
    MeasuredPace,
    oldest_ages_s,
    reportable_paces,
)
from leadford.protocol import PROTOCOL_LOAD, PaceNews, PaceReport
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.metrics import ENDPOINT_PACE_AGE_SECONDS, MALFORMED_REPORTS_TOTAL
from leadford_server.peers import PeerConnection


class AddressedPaces:
    """Hold paces to report, and the entries that get them.

    `receiver_ids` is None if every peer gets them.
    """

    def __init__(
        self, *, news: PaceNews, receiver_ids: Collection[EntryId] | None
    ) -> None:
        self.news = news
        self.receiver_ids = receiver_ids

    def send(self, peer: PeerConnection) -> None:
        """Send the paces to a peer, if it is a receiver and can read them."""
        if peer.info.protocol_version < PROTOCOL_LOAD:
            return
        if self.receiver_ids is None or peer.info.peer_id in self.receiver_ids:
            peer.send(self.news)


class PaceExchange:
    """Create reports of paces, and record those of others."""

    def __init__(self, *, state: ForwardState) -> None:
        self.state = state

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message that this exchange receives."""
        return {PaceNews: self._on_news}

    def make(self) -> PaceNews | None:
        """Return the paces to report, or None if there are none."""
        now = self.state.now()
        records = self.state.roster_.records_by_id_.values()
        for service_id, age_s in oldest_ages_s(records, now).items():
            ENDPOINT_PACE_AGE_SECONDS.labels(service_id).set(age_s)
        reports = [
            PaceReport(
                item.endpoint_id,
                round(item.measured.pace, 3),
                item.measured.samples,
                round((now - item.measured.measured_at) * 1_000.0, 1),
            )
            for item in reportable_paces(records, now)
        ]
        return PaceNews(reports) if reports else None

    def address(self, news: PaceNews, decider_ids: set[EntryId]) -> AddressedPaces:
        """Return paces with the entries that get them.

        `decider_ids` are the entries that schedule groups or place prompts. They report
        to all peers, the others report only to them.
        """
        is_decider = self.state.entry_id in decider_ids
        return AddressedPaces(
            news=news, receiver_ids=None if is_decider else decider_ids
        )

    def _on_news(self, peer: PeerConnection, message: PaceNews) -> None:
        self.record(EntryId(peer.info.peer_id), message)

    def record(self, entry_id: EntryId, message: PaceNews) -> None:
        """Record the paces that another entry measured.

        Endpoints that this entry does not list are skipped.
        """
        now = self.state.now()
        for report in message.paces[:MAX_REPORTED_PACES]:
            record = self.state.roster_.record(EndpointId(report.endpoint_id))
            if record is None:
                continue
            # With a negative age, a report would expire too late.
            age_s = max(0.0, report.age_ms / 1_000.0)
            measured = MeasuredPace(report.ratio, report.samples, now - age_s)
            if not record.pace_.record_peer(entry_id, measured):
                MALFORMED_REPORTS_TOTAL.labels(record.listed.service_id).inc()
