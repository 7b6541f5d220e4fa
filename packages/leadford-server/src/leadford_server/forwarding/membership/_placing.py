"""Let one entry place the prompts of all entries at the engines, and query it.

Owns the pending queries and, at the placing entry, the prompts that it has placed. The
choice of the engine and the timeout of a query are decided in
`leadford.forwarding.endpoints`; which entry places follows from which ones are alive.
An entry that gets no answer in time chooses an engine itself.
"""

import asyncio
from collections.abc import Callable, Collection, Mapping

from leadford.common import EndpointId, EntryId, HallId
from leadford.forwarding.batching import GroupId
from leadford.forwarding.endpoints import (
    PLACEMENT_TIMEOUT_S,
    EndpointRecord,
    PlacedId,
    PlacedPrompts,
    PromptPart,
    PromptShape,
)
from leadford.forwarding.membership import SharedRule
from leadford.forwarding.routes import Service, ServiceId
from leadford.protocol import (
    PROTOCOL_FLEET,
    PlaceAnswer,
    PlaceRequest,
    PromptPartReport,
    PromptRead,
)
from leadford_server.forwarding._links_contract import PlacedEngine
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.metrics import PLACED_TOTAL
from leadford_server.peers import PeerConnection


class EnginePlacing:
    """Request engines for own prompts, and place the prompts of others.

    `group_of` returns the group of engines of a service that reads a prompt, found by
    the part that assigns it to a pool; `placer_of` returns the live entry that places
    for a group; `all_know` returns whether the build of every live entry knows a rule.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        peers_by_id: Mapping[EntryId, PeerConnection],
        group_of: Callable[[ServiceId, str], GroupId | None],
        placer_of: Callable[[GroupId], EntryId],
        all_know: Callable[[SharedRule], bool],
    ) -> None:
        self.state = state
        self.peers_by_id = peers_by_id
        self.group_of = group_of
        self.placer_of = placer_of
        self.all_know = all_know
        self.placed = PlacedPrompts(engines=state.engines_)
        self.answers_by_id_: dict[int, asyncio.Future[EndpointId]] = {}
        self.next_id_ = 0

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message that this exchange receives."""
        return {
            PlaceRequest: self._on_request,
            PlaceAnswer: self._on_answer,
            PromptRead: self._on_read,
        }

    def places_service(self, service: Service) -> bool:
        """Return whether one entry chooses the endpoints of a service for all.

        Where endpoints may be cold, each entry still says which of them it may use.
        """
        if service.engine is None:
            return False
        if service.cold_limits is None:
            return True
        return self.all_know(SharedRule.COLD_ENGINES_PLACED)

    def places_for_all(self, service_id: ServiceId, prompt: PromptShape) -> bool:
        """Return whether this entry places all prompts of the group of this one."""
        group = self.group_of(service_id, prompt.pool_key)
        return group is not None and self.placer_of(group) == self.state.entry_id

    async def place(
        self,
        service_id: ServiceId,
        prompt: PromptShape,
        *,
        excluded: Collection[EndpointId],
        bytes_by_hall: dict[HallId, int],
    ) -> PlacedEngine | None:
        """Return the engine that the placing entry chose, or None without an answer."""
        group = self.group_of(service_id, prompt.pool_key)
        placer = self.placer_of(group) if group is not None else None
        peer = self.peers_by_id.get(placer)
        if peer is None or peer.info.protocol_version < PROTOCOL_FLEET:
            return None
        self.next_id_ += 1
        ask_id = self.next_id_
        peer.send(
            PlaceRequest(
                ask_id,
                service_id,
                prompt.tokens_in,
                [PromptPartReport(part.part_id, part.tokens) for part in prompt.parts],
                list(excluded),
                dict(bytes_by_hall),
            )
        )
        endpoint_id = await self._wait_answer(ask_id, placer)
        if endpoint_id is None:
            PLACED_TOTAL.labels(end="no answer").inc()
            return None
        record = self.state.roster_.record(endpoint_id)
        if record is None or not self.state.is_usable(record):
            PLACED_TOTAL.labels(end="not usable").inc()
            self._send_read(placer, ask_id)
            return None
        PLACED_TOTAL.labels(end="placed").inc()
        return PlacedEngine(record, lambda: self._send_read(placer, ask_id))

    async def _wait_answer(self, ask_id: int, placer: EntryId) -> EndpointId | None:
        """Return the engine that the placing entry names, or None after a timeout.

        If the query is abandoned, the placing entry is notified at once.
        """
        answer = self.state.loop.create_future()
        self.answers_by_id_[ask_id] = answer
        try:
            async with asyncio.timeout(PLACEMENT_TIMEOUT_S):
                return await answer
        except TimeoutError:
            self._send_read(placer, ask_id)
            return None
        except asyncio.CancelledError:
            # The caller has disconnected.
            self._send_read(placer, ask_id)
            raise
        finally:
            self.answers_by_id_.pop(ask_id, None)

    def _send_read(self, placer: EntryId, ask_id: int) -> None:
        """Notify the placing entry that a prompt is no longer waiting."""
        peer = self.peers_by_id.get(placer)
        if peer is not None:
            peer.send(PromptRead(ask_id))

    def _on_request(self, peer: PeerConnection, message: PlaceRequest) -> None:
        service = self.state.service(ServiceId(message.service_id))
        endpoint_id = ""
        if service is not None and service.engine is not None:
            record = self._choose(service, message)
            if record is not None:
                placed_id = PlacedId(EntryId(peer.info.peer_id), message.ask_id)
                sent = self.state.engines_.record_sent(
                    record, _prompt_shape(message), service.engine.memory_tokens
                )
                self.placed.record_placed(placed_id, sent, self.state.now())
                endpoint_id = record.listed.endpoint_id
        peer.send(PlaceAnswer(message.ask_id, endpoint_id))

    def _choose(self, service: Service, message: PlaceRequest) -> EndpointRecord | None:
        return self.state.engines_.choose(
            self.state.usable(service.service_id),
            _prompt_shape(message),
            excluded={EndpointId(text) for text in message.excluded},
            bytes_by_hall={
                HallId(hall): count for hall, count in message.bytes_by_hall.items()
            },
            places_for_all=True,
            now=self.state.now(),
        )

    def _on_answer(self, peer: PeerConnection, message: PlaceAnswer) -> None:
        answer = self.answers_by_id_.get(message.ask_id)
        if answer is not None and not answer.done():
            answer.set_result(EndpointId(message.endpoint_id))

    def _on_read(self, peer: PeerConnection, message: PromptRead) -> None:
        placed_id = PlacedId(EntryId(peer.info.peer_id), message.ask_id)
        self.placed.record_prefilled(placed_id)


def _prompt_shape(message: PlaceRequest) -> PromptShape:
    """Return the prompt for which a peer requests a place."""
    parts = tuple(PromptPart(part.part_id, part.tokens) for part in message.parts)
    return PromptShape(parts, message.tokens_in)
