"""Tell replicas which software version began a stream, and ask them when it goes on.

Owns the pending questions of this entry, and which replicas were told of the streams
that it holds. `leadford.forwarding.streams` decides who keeps an origin and what
follows from the answers.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from leadford.common import EntryId, RequestId
from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams import (
    SoleSoftware,
    StreamOrigin,
    agreed_software,
    origin_replicas,
    sole_horizon_s,
)
from leadford.protocol import (
    PROTOCOL_ORIGINS,
    StreamOriginAnswer,
    StreamOriginNews,
    StreamOriginReport,
    StreamOriginRequest,
)
from leadford_server.forwarding._links_contract import FoundOrigin, OriginSource
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.metrics import STREAM_ORIGINS_TOTAL
from leadford_server.peers import PeerConnection

# Maximum time that a question adds to a request.
MAX_ORIGIN_WAIT_S = 0.3
# Stands for the request that began a stream where its caller does not name it. Replicas
# are asked all the same: they tell whether several versions were listed.
UNNAMED = RequestId("")
# Time between checks for a link to a replica while there is none.
LINK_POLL_INTERVAL_S = 0.02


class _Question:
    """Hold a question to several replicas and what they have answered."""

    def __init__(self, *, end: asyncio.Future[StreamOrigin | None]) -> None:
        # Ends with the origin, or with None once all replicas have answered.
        self.end = end
        self.waiting_for_: set[EntryId] = set()
        self.sole_: list[SoleSoftware | None] = []

    def record_answer(
        self,
        entry_id: EntryId,
        origin: StreamOrigin | None,
        sole: SoleSoftware | None,
    ) -> None:
        """Record the answer of one replica; the first that knows the origin counts."""
        self.sole_.append(sole)
        self._settle(entry_id, origin)

    def record_lost(self, entry_id: EntryId) -> None:
        """Record that a replica will not answer."""
        self._settle(entry_id, None)

    def _settle(self, entry_id: EntryId, origin: StreamOrigin | None) -> None:
        self.waiting_for_.discard(entry_id)
        if self.end.done():
            return
        if origin is not None or not self.waiting_for_:
            self.end.set_result(origin)


class OriginExchange:
    """Record and find origins for the requests of this entry, and keep those of others.

    `first_candidates` returns the entries to which every entry is linked, `entry_count`
    the number of all entries.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        peers_by_id: Mapping[EntryId, PeerConnection],
        first_candidates: Callable[[], set[EntryId]],
        entry_count: Callable[[], int],
    ) -> None:
        self.state = state
        self.peers_by_id = peers_by_id
        self.first_candidates = first_candidates
        self.entry_count = entry_count
        # The entries that may keep origins, as of the last heartbeat or lost link.
        self.candidate_ids_: tuple[EntryId, ...] = ()
        # The replicas that were told of each stream that this entry holds.
        self.told_by_id_: dict[RequestId, set[EntryId]] = {}
        self.questions_by_id_: dict[int, _Question] = {}
        self.last_ask_id_ = 0

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message that this exchange receives."""
        return {
            StreamOriginNews: self._on_news,
            StreamOriginRequest: self._on_request,
            StreamOriginAnswer: self._on_answer,
        }

    def record(
        self, request_id: RequestId, origin: StreamOrigin, wait_s: float
    ) -> None:
        """Record the origin of a stream that this entry holds, and tell its replicas.

        Units: wait_s is for how much longer the caller waits.
        """
        if origin.software is None:
            return
        self.state.origins_.record(request_id, origin, wait_s, self.state.now())
        self.told_by_id_.setdefault(request_id, set())
        self._tell([request_id])

    def refresh(self) -> None:
        """Forget ended streams, and tell replicas that have taken the place of others.

        Called with each heartbeat.
        """
        for request_id in self.state.origins_.drop_ended(self.state.now()):
            self.told_by_id_.pop(request_id, None)
        self._set_candidates(self.first_candidates())

    def forget(self, entry_id: EntryId) -> None:
        """Record that a link ended or began anew; the entry may know no origins now."""
        for told in self.told_by_id_.values():
            told.discard(entry_id)
        for question in list(self.questions_by_id_.values()):
            if entry_id in question.waiting_for_:
                question.record_lost(entry_id)
        self._set_candidates(set(self.candidate_ids_) - {entry_id})

    def _set_candidates(self, entry_ids: Iterable[EntryId]) -> None:
        """Keep those of some entries that can keep origins, and tell new replicas."""
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
        origins = self.state.origins_
        origin = origins.find(request_id)
        if origin is None or origin.software is None:
            return None
        wait_s = origins.remaining_s(request_id, self.state.now())
        return StreamOriginReport(
            request_id, origin.service_id, origin.software, wait_s * 1_000.0
        )

    async def find(
        self, request_id: RequestId | None, service_id: ServiceId
    ) -> FoundOrigin:
        """Return the origin of the stream that a request began, and who knew it.

        `request_id` is None where the caller does not name that request. `service_id`
        is the service that the request would go to now.
        """
        found = await self._find(request_id, service_id)
        STREAM_ORIGINS_TOTAL.labels(source=found.source.value).inc()
        return found

    async def _find(
        self, request_id: RequestId | None, service_id: ServiceId
    ) -> FoundOrigin:
        request_id = request_id or UNNAMED
        origin = self.state.origins_.find(request_id)
        if origin is not None:
            return FoundOrigin(OriginSource.OWN, origin)
        question = _Question(end=self.state.loop.create_future())
        try:
            async with asyncio.timeout(MAX_ORIGIN_WAIT_S):
                origin = await self._ask(question, request_id, service_id)
        except TimeoutError:
            pass
        if origin is not None:
            return FoundOrigin(OriginSource.REPLICA, origin)
        return self._conclude(question, service_id)

    async def _ask(
        self, question: _Question, request_id: RequestId, service_id: ServiceId
    ) -> StreamOrigin | None:
        """Return what the replicas know, once one knows it or all have answered."""
        while not self.candidate_ids_ and self.entry_count() > 1:
            await asyncio.sleep(LINK_POLL_INTERVAL_S)
        replicas = origin_replicas(request_id, self.candidate_ids_)
        if not replicas:
            return None
        self.last_ask_id_ += 1
        ask_id = self.last_ask_id_
        self.questions_by_id_[ask_id] = question
        question.waiting_for_.update(replicas)
        try:
            for replica in replicas:
                message = StreamOriginRequest(ask_id, request_id, service_id)
                self.peers_by_id[replica].send(message)
            return await question.end
        finally:
            del self.questions_by_id_[ask_id]

    def _conclude(self, question: _Question, service_id: ServiceId) -> FoundOrigin:
        """Return the only version that can have begun a stream, if there is one."""
        if self.entry_count() > 1 and not question.sole_:
            # No peer answered, so what this entry knows may be old.
            return FoundOrigin(OriginSource.NOBODY, None)
        software = agreed_software(
            [self._own_view(service_id), *question.sole_], horizon_s=self._horizon_s()
        )
        if software is None:
            return FoundOrigin(OriginSource.NOBODY, None)
        return FoundOrigin(OriginSource.SOLE, StreamOrigin(service_id, software))

    def _horizon_s(self) -> float:
        return sole_horizon_s(self.state.origins_.longest_wait_s_)

    def _own_view(self, service_id: ServiceId) -> SoleSoftware | None:
        return self.state.software_history_.sole(
            service_id,
            self.state.roster_.listed_software(service_id),
            horizon_s=self._horizon_s(),
            now=self.state.now(),
        )

    def _on_news(self, peer: PeerConnection, message: StreamOriginNews) -> None:
        now = self.state.now()
        for report in message.origins:
            self.state.origins_.record(
                RequestId(report.request_id),
                _origin(report),
                report.wait_ms / 1_000.0,
                now,
            )

    def _on_request(self, peer: PeerConnection, message: StreamOriginRequest) -> None:
        report = self._report(RequestId(message.request_id))
        view = self._own_view(ServiceId(message.service_id))
        answer = StreamOriginAnswer(
            message.ask_id,
            known=[] if report is None else [report],
            sole=[] if view is None else [view.software],
            observed_ms=0.0 if view is None else view.observed_s * 1_000.0,
        )
        peer.send(answer)

    def _on_answer(self, peer: PeerConnection, message: StreamOriginAnswer) -> None:
        question = self.questions_by_id_.get(message.ask_id)
        entry_id = EntryId(peer.info.peer_id)
        if question is None or entry_id not in question.waiting_for_:
            return
        origin = _origin(message.known[0]) if message.known else None
        sole = None
        if message.sole:
            software = SoftwareVersion(message.sole[0])
            sole = SoleSoftware(software, message.observed_ms / 1_000.0)
        question.record_answer(entry_id, origin, sole)


def _origin(report: StreamOriginReport) -> StreamOrigin:
    return StreamOrigin(ServiceId(report.service_id), SoftwareVersion(report.software))
