"""Tell other entries which software version began a stream, and hold what they tell.

Owns which replicas were told of the streams that this entry holds.
`leadford.forwarding.streams` decides which entries hold replicas; `_origin_search` asks
them.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence

from leadford.common import EntryId, RequestId
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams import (
    MAX_ORIGIN_AGE_S,
    REPLICA_COUNT,
    StreamContent,
    StreamKey,
    StreamOrigin,
    origin_replicas,
)
from leadford.protocol import (
    PROTOCOL_ORIGINS,
    StreamOriginAnswer,
    StreamOriginNews,
    StreamOriginReport,
    StreamOriginRequest,
)
from leadford_server.forwarding._links_contract import FoundOrigin
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.membership._origin_search import (
    OriginSearch,
    origin_in,
)
from leadford_server.metrics import STREAM_ORIGINS_TOTAL
from leadford_server.peers import PeerConnection

# Time without a link after which what other entries tell counts as missed. Links of a
# fleet that starts take less.
CUT_OFF_S = 3.0


class OriginExchange:
    """Record and find origins for the requests of this entry, and hold those of others.

    `common_peers` returns the entries to which every entry is linked, `entry_count`
    the number of all entries.
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
        # The entries that may hold replicas, as of the last heartbeat or lost link.
        self.candidate_ids_: tuple[EntryId, ...] = ()
        # How many entries may hold replicas, linked or not, as of the last heartbeat.
        self.replica_count_ = 0
        # When links to entries that may hold replicas ended.
        self.lost_at_by_id_: dict[EntryId, float] = {}
        # The replicas that were told of each stream that this entry holds.
        self.told_by_id_: dict[RequestId, set[EntryId]] = {}
        self.search = OriginSearch(
            state=state,
            peers_by_id=peers_by_id,
            candidates=lambda: self.candidate_ids_,
            replica_count=lambda: self.replica_count_,
            entry_count=entry_count,
        )

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message that this exchange receives."""
        return {
            StreamOriginNews: self._on_news,
            StreamOriginRequest: self._on_request,
            **self.search.handlers(),
        }

    def record(self, key: StreamKey, origin: StreamOrigin, wait_s: float) -> None:
        """Record the origin of a stream that this entry holds, and tell its replicas.

        The key names the request that began the stream.

        Units: wait_s is for how much longer the caller waits.
        """
        if origin.software is None or wait_s <= 0.0:
            return
        self.state.origin_ledger_.record(key, origin, wait_s, self.state.now())
        self.told_by_id_.setdefault(key.request_id, set())
        self._tell([key.request_id])

    def refresh(self) -> None:
        """Forget ended streams, and tell replicas that have taken the place of others.

        Called with each heartbeat.
        """
        for request_id in self.state.origin_ledger_.drop_ended(self.state.now()):
            self.told_by_id_.pop(request_id, None)
        self._record_gap_if_alone()
        common_ids = self.common_peers()
        self.replica_count_ = len(common_ids)
        self._set_candidates(common_ids)

    def _record_gap_if_alone(self) -> None:
        """Record that streams may be missed: without a link, others tell nothing."""
        now = self.state.now()
        origins = self.state.origin_ledger_
        alone_since = self.state.alone_since_
        is_cut_off = (
            self.entry_count() > 1
            and alone_since is not None
            and now - alone_since >= CUT_OFF_S
        )
        if is_cut_off or origins.complete_since_ is None:
            origins.record_gap(now)

    def forget(self, entry_id: EntryId) -> None:
        """Record that a link ended or began anew; the entry may know no origins now."""
        for told in self.told_by_id_.values():
            told.discard(entry_id)
        self.search.forget(entry_id)
        if entry_id in self.candidate_ids_:
            self._record_lost(entry_id)
        self._set_candidates(set(self.candidate_ids_) - {entry_id})

    def _record_lost(self, entry_id: EntryId) -> None:
        """Record that a replica was lost; with too many, streams are lost as well."""
        now = self.state.now()
        self.lost_at_by_id_[entry_id] = now
        self.lost_at_by_id_ = {
            lost_id: lost_at
            for lost_id, lost_at in self.lost_at_by_id_.items()
            if now - lost_at <= MAX_ORIGIN_AGE_S
        }
        if len(self.lost_at_by_id_) >= REPLICA_COUNT:
            self.state.origin_ledger_.record_gap(now)
            # The streams that begin from now on have other holders.
            self.lost_at_by_id_.clear()

    def _set_candidates(self, entry_ids: Iterable[EntryId]) -> None:
        """Use those of some entries that can hold replicas, and tell new ones."""
        linked = (entry_id for entry_id in entry_ids if self._peer(entry_id))
        candidate_ids = tuple(sorted(linked))
        if candidate_ids != self.candidate_ids_:
            self.candidate_ids_ = candidate_ids
            self._tell(self.told_by_id_)

    def _peer(self, entry_id: EntryId) -> PeerConnection | None:
        """Return the link to an entry if its build can read the messages."""
        peer = self.peers_by_id.get(entry_id)
        if peer is None or peer.info.protocol_version < PROTOCOL_ORIGINS:
            return None
        return peer

    def _tell(self, request_ids: Iterable[RequestId]) -> None:
        """Tell the replicas of some streams what they were not told yet."""
        reports_by_replica: dict[EntryId, list[StreamOriginReport]] = {}
        for request_id in request_ids:
            told = self.told_by_id_[request_id]
            for replica in origin_replicas(request_id, self.candidate_ids_):
                if replica in told:
                    continue
                told.add(replica)
                report = self._report(request_id)
                if report is not None:
                    reports_by_replica.setdefault(replica, []).append(report)
        for replica, reports in reports_by_replica.items():
            peer = self._peer(replica)
            if peer is not None:
                peer.send(StreamOriginNews(reports))

    def _report(self, request_id: RequestId) -> StreamOriginReport | None:
        """Return the report of an origin, None if it is not known."""
        origins = self.state.origin_ledger_
        origin = origins.find(request_id)
        if origin is None or origin.software is None:
            return None
        wait_s = origins.remaining_s(request_id, self.state.now())
        return StreamOriginReport(
            request_id,
            origins.content_by_id_[request_id],
            origin.service_id,
            origin.software,
            wait_s * 1_000.0,
        )

    async def find(
        self, key: StreamKey, service_ids: Sequence[ServiceId]
    ) -> FoundOrigin:
        """Return the origin of a stream, and who knew it.

        `service_ids` are those of its route, the one that it would go to now first.
        """
        found = await self.search.find(key, service_ids)
        STREAM_ORIGINS_TOTAL.labels(source=found.source.value).inc()
        return found

    def _on_news(self, peer: PeerConnection, message: StreamOriginNews) -> None:
        now = self.state.now()
        for report in message.origins:
            key = StreamKey(RequestId(report.request_id), StreamContent(report.content))
            wait_s = report.wait_ms / 1_000.0
            self.state.origin_ledger_.record(key, origin_in(report), wait_s, now)

    def _on_request(self, peer: PeerConnection, message: StreamOriginRequest) -> None:
        request_id = RequestId(message.request_id) if message.request_id else None
        key = StreamKey(request_id, StreamContent(message.content))
        view = self.search.own_view(ServiceId(message.service_id))
        answer = StreamOriginAnswer(
            message.ask_id,
            known=self._distinct_reports(key),
            sole=[] if view is None else [view.software],
            observed_ms=0.0 if view is None else view.observed_s * 1_000.0,
            complete_ms=self.state.origin_ledger_.complete_for_s(self.state.now())
            * 1_000.0,
        )
        peer.send(answer)

    def _distinct_reports(self, key: StreamKey) -> list[StreamOriginReport]:
        """Return a report for each origin that a stream may have.

        Many streams may have the same content, but there are few versions.
        """
        report_by_origin: dict[StreamOrigin, StreamOriginReport] = {}
        for request_id in self.state.origin_ledger_.matching_ids(key):
            report = self._report(request_id)
            if report is not None:
                report_by_origin.setdefault(origin_in(report), report)
        return list(report_by_origin.values())
