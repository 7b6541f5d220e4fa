"""Ask other entries which software version began a stream.

Owns the pending questions of this entry. `leadford.forwarding.streams` decides which
entries hold replicas of an origin, and what follows from their answers.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence

from leadford.common import EntryId
from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams import (
    SoleSoftware,
    StreamKey,
    StreamOrigin,
    agreed_origin,
    confirmed_software,
    knows_all_streams,
    origin_replicas,
    sole_horizon_s,
)
from leadford.protocol import (
    PROTOCOL_ORIGINS,
    StreamOriginAnswer,
    StreamOriginReport,
    StreamOriginRequest,
)
from leadford_server.forwarding._links_contract import FoundOrigin, OriginSource
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.peers import PeerConnection

# Maximum time that a question adds to a request.
MAX_ORIGIN_WAIT_S = 0.3
# Maximum time that reading the records of the store adds to a request.
MAX_RECORD_READ_S = 0.3
# Time between checks for a link to a replica while there is none.
LINK_POLL_INTERVAL_S = 0.02


class OriginQuestion:
    """Hold a question to several replicas and what they have answered.

    If the caller names the request that began its stream, the first replica that knows
    it is enough. Otherwise all are waited for, since their origins may differ.
    """

    def __init__(self, *, key: StreamKey, end: asyncio.Future[None]) -> None:
        self.key = key
        self.end = end
        self.waiting_for_: set[EntryId] = set()
        self.origins_: set[StreamOrigin] = set()
        # What each replica that answered says of the versions that it has listed.
        self.views_: list[SoleSoftware | None] = []
        # For how many seconds each replica that answered has missed no stream.
        self.complete_for_s_: list[float] = []

    def record_answer(
        self,
        entry_id: EntryId,
        origins: Sequence[StreamOrigin],
        view: SoleSoftware | None,
        complete_s: float,
    ) -> None:
        """Record the answer of a replica."""
        self.origins_.update(origins)
        self.views_.append(view)
        self.complete_for_s_.append(complete_s)
        self.record_lost(entry_id)

    def record_lost(self, entry_id: EntryId) -> None:
        """Record that no further answer of a replica is waited for."""
        self.waiting_for_.discard(entry_id)
        is_enough = self.key.request_id is not None and bool(self.origins_)
        if (is_enough or not self.waiting_for_) and not self.end.done():
            self.end.set_result(None)


class OriginSearch:
    """Find the origins of streams that callers resume at this entry.

    `candidates` returns the linked entries that may hold replicas, `replica_count` how
    many may hold them, linked or not, and `entry_count` the number of all entries.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        peers_by_id: Mapping[EntryId, PeerConnection],
        candidates: Callable[[], Sequence[EntryId]],
        replica_count: Callable[[], int],
        entry_count: Callable[[], int],
    ) -> None:
        self.state = state
        self.peers_by_id = peers_by_id
        self.candidates = candidates
        self.replica_count = replica_count
        self.entry_count = entry_count
        self.questions_by_id_: dict[int, OriginQuestion] = {}
        self.last_ask_id_ = 0

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message that this search receives."""
        return {StreamOriginAnswer: self._on_answer}

    def forget(self, entry_id: EntryId) -> None:
        """Wait no longer for an entry whose link ended."""
        for question in list(self.questions_by_id_.values()):
            if entry_id in question.waiting_for_:
                question.record_lost(entry_id)

    async def find(
        self, key: StreamKey, service_ids: Sequence[ServiceId]
    ) -> FoundOrigin:
        """Return the origin of a stream, and who knew it.

        `service_ids` are those of its route, the one that it would go to now first.
        """
        own = self._own_origins(key)
        if key.request_id is not None and own:
            return FoundOrigin(OriginSource.OWN, own[0])
        question = OriginQuestion(key=key, end=self.state.loop.create_future())
        question.origins_.update(own)
        try:
            async with asyncio.timeout(MAX_ORIGIN_WAIT_S):
                await self._ask(question, service_ids[0])
        except TimeoutError:
            # The answers that came are used.
            pass
        if question.origins_ and self._is_identified(question, service_ids[0]):
            origin = agreed_origin(question.origins_)
            source = OriginSource.NOBODY if origin is None else OriginSource.REPLICA
            return FoundOrigin(source, origin)
        return await self._conclude(question, service_ids)

    def _is_identified(self, question: OriginQuestion, service_id: ServiceId) -> bool:
        """Return whether what was found is the stream that the caller means.

        A content identifies it only if no stream of that content is missing.
        """
        if question.key.request_id is not None:
            return True
        own_s = self.state.origin_ledger_.complete_for_s(self.state.now())
        answered_s = question.complete_for_s_
        unanswered = max(0, self.replica_count() - len(answered_s))
        return knows_all_streams(
            [own_s, *answered_s, *([0.0] * unanswered)],
            horizon_s=self._horizon_s(service_id),
        )

    def _own_origins(self, key: StreamKey) -> list[StreamOrigin]:
        origins = self.state.origin_ledger_
        found = [origins.find(found_id) for found_id in origins.matching_ids(key)]
        return [origin for origin in found if origin is not None]

    async def _ask(self, question: OriginQuestion, service_id: ServiceId) -> None:
        """Ask the replicas of an origin, and wait until the question has ended."""
        while not self.candidates() and self._may_be_linked_soon():
            await asyncio.sleep(LINK_POLL_INTERVAL_S)
        entry_ids = self._entries_to_ask(question.key)
        if not entry_ids:
            return
        self.last_ask_id_ += 1
        ask_id = self.last_ask_id_
        self.questions_by_id_[ask_id] = question
        question.waiting_for_.update(entry_ids)
        key = question.key
        try:
            for entry_id in entry_ids:
                message = StreamOriginRequest(
                    ask_id, key.request_id or "", key.content, service_id
                )
                self.peers_by_id[entry_id].send(message)
            await question.end
        finally:
            del self.questions_by_id_[ask_id]

    def _may_be_linked_soon(self) -> bool:
        """Return whether another entry may hold replicas once it is linked."""
        versions = [peer.info.protocol_version for peer in self.peers_by_id.values()]
        if not versions:
            return self.entry_count() > 1
        return max(versions) >= PROTOCOL_ORIGINS

    def _entries_to_ask(self, key: StreamKey) -> Sequence[EntryId]:
        """Return the replicas of a named stream, or all that may be replicas."""
        if key.request_id is None:
            return self.candidates()
        return origin_replicas(key.request_id, self.candidates())

    async def _conclude(
        self, question: OriginQuestion, service_ids: Sequence[ServiceId]
    ) -> FoundOrigin:
        """Return what the store knows of a stream that no entry knows.

        Nothing is concluded from what the entries have listed: all that answer may be
        cut off from the others.
        """
        try:
            async with asyncio.timeout(MAX_RECORD_READ_S):
                found = await self._find_in_store(question, service_ids)
        except TimeoutError:
            found = None
        return found or FoundOrigin(OriginSource.NOBODY, None)

    async def _find_in_store(
        self, question: OriginQuestion, service_ids: Sequence[ServiceId]
    ) -> FoundOrigin | None:
        """Return the origin by the records in the store, None if they do not tell."""
        key = question.key
        records = self.state.software_records_
        recorded = None if records is None else await records.sole(service_ids)
        # After the listing was brought up to date.
        views = [self.own_view(service_ids[0]), *question.views_]
        software = confirmed_software(recorded, views)
        if software is not None:
            origin = StreamOrigin(service_ids[0], software)
            return FoundOrigin(OriginSource.SOLE, origin)
        streams = self.state.stream_records_
        if streams is None or key.request_id is None:
            return None
        origin = await streams.find(key.request_id)
        return None if origin is None else FoundOrigin(OriginSource.STORE, origin)

    def own_view(self, service_id: ServiceId) -> SoleSoftware | None:
        """Return the only version of a service that this entry has listed lately."""
        return self.state.software_history_.sole(
            service_id,
            self.state.roster_.listed_software(service_id),
            horizon_s=self._horizon_s(service_id),
            now=self.state.now(),
        )

    def _horizon_s(self, service_id: ServiceId) -> float:
        """Return for how long a caller of a service may wait."""
        records = self.state.software_records_
        return sole_horizon_s(
            None if records is None else records.longest_wait_s(service_id)
        )

    def _on_answer(self, peer: PeerConnection, message: StreamOriginAnswer) -> None:
        question = self.questions_by_id_.get(message.ask_id)
        entry_id = EntryId(peer.info.peer_id)
        if question is None or entry_id not in question.waiting_for_:
            return
        view = None
        if message.sole:
            software = SoftwareVersion(message.sole[0])
            view = SoleSoftware(software, message.observed_ms / 1_000.0)
        origins = [origin_in(report) for report in message.known]
        complete_s = message.complete_ms / 1_000.0
        question.record_answer(entry_id, origins, view, complete_s)


def origin_in(report: StreamOriginReport) -> StreamOrigin:
    """Return the origin in a report of another entry."""
    return StreamOrigin(ServiceId(report.service_id), SoftwareVersion(report.software))
