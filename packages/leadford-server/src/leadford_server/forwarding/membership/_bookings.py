"""Book the return of refused callers at the schedulers of services, and claim bookings.

Owns the pending queries of this entry, and answers those of others from the ledgers
that this entry holds (`_ledgers`). Without an answer in time, admission decides as if
nothing was booked.
"""

import asyncio
import math
from collections.abc import Callable, Iterable, Mapping

from leadford.common import EntryId
from leadford.forwarding.admission import BookingQuery
from leadford.forwarding.routes import ServiceId
from leadford.protocol import (
    PROTOCOL_LOAD,
    BookingAnswer,
    BookingClaim,
    BookingClaimAnswer,
    BookingRequest,
    Message,
)
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.membership._ledgers import ServiceLedgers
from leadford_server.metrics import BOOKINGS_TOTAL
from leadford_server.peers import PeerConnection

# The time of return in messages that means that nothing was booked.
NOT_BOOKED_MS = -1.0
# Booked times up to this much later than the latest useful one are accepted: they are
# rounded, and a repeated query gets the time that was booked for the first one.
RETURN_TOLERANCE_S = 0.1


class _Query:
    """Hold a query to one or several peers; the first positive answer is its result."""

    def __init__(self, *, answer: asyncio.Future[float | None]) -> None:
        self.answer = answer
        self.peers_by_ask_id_: dict[int, EntryId] = {}

    def settle(self, ask_id: int, value: float | None) -> None:
        """Record the answer of a peer, None for a negative one."""
        del self.peers_by_ask_id_[ask_id]
        if self.answer.done():
            return
        if value is not None or not self.peers_by_ask_id_:
            self.answer.set_result(value)


class BookingExchange:
    """Book and claim for the requests of this entry, and answer other entries."""

    def __init__(
        self,
        *,
        state: ForwardState,
        peers_by_id: Mapping[EntryId, PeerConnection],
        ledgers: ServiceLedgers,
    ) -> None:
        self.state = state
        self.peers_by_id = peers_by_id
        self.ledgers = ledgers
        self.queries_by_ask_id_: dict[int, _Query] = {}
        self.last_ask_id_ = 0

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message that this exchange receives."""
        return {
            BookingRequest: self._on_request,
            BookingAnswer: self._on_answer,
            BookingClaim: self._on_claim,
            BookingClaimAnswer: self._on_claim_answer,
        }

    def owner(self, service_id: ServiceId) -> EntryId | None:
        """Return the entry that books for a service, None if nothing is booked."""
        return self.ledgers.owner(service_id)

    async def book(
        self, service_id: ServiceId, query: BookingQuery, until: float
    ) -> float | None:
        """Return in how many seconds a caller is to return, None without a booking.

        Units: until, in seconds of the monotonic clock, ends the wait for an answer.
        """
        owner = self.owner(service_id)
        if owner == self.state.entry_id:
            return self.ledgers.book(service_id, query)
        peer = self._peer(owner)
        if peer is None:
            return None
        pending = self._new_query()
        self._send(
            pending,
            peer,
            lambda ask_id: BookingRequest(
                ask_id,
                service_id,
                query.fingerprint,
                query.level,
                query.pieces,
                query.earliest_s * 1_000.0,
                query.latest_s * 1_000.0,
            ),
        )
        return_s = await self._wait(pending, until)
        if return_s is None or return_s > query.latest_s + RETURN_TOLERANCE_S:
            return None
        return return_s

    async def claim(
        self, fingerprint: str, service_ids: Iterable[ServiceId], until: float
    ) -> bool:
        """Return whether a returned caller had a booking that is due, and end it.

        Units: until, in seconds of the monotonic clock, ends the wait for an answer.
        """
        pending = self._new_query()
        has_booking = False
        for service_id in service_ids:
            owner = self.owner(service_id)
            if owner == self.state.entry_id:
                has_booking = self.ledgers.claim(service_id, fingerprint) or has_booking
                continue
            peer = self._peer(owner)
            if peer is not None:
                self._send(
                    pending,
                    peer,
                    lambda ask_id, claimed_id=service_id: BookingClaim(
                        ask_id, claimed_id, fingerprint
                    ),
                )
        if has_booking or not pending.peers_by_ask_id_:
            self._forget(pending)
            return has_booking
        return await self._wait(pending, until) is not None

    def _peer(self, entry_id: EntryId | None) -> PeerConnection | None:
        """Return the link to the entry that books, if it can read the messages."""
        peer = self.peers_by_id.get(entry_id) if entry_id is not None else None
        if peer is None or peer.info.protocol_version < PROTOCOL_LOAD:
            return None
        return peer

    def _new_query(self) -> _Query:
        return _Query(answer=self.state.loop.create_future())

    def _send(
        self,
        query: _Query,
        peer: PeerConnection,
        make_message: Callable[[int], Message],
    ) -> None:
        """Send the message that `make_message` returns for a new query id."""
        self.last_ask_id_ += 1
        query.peers_by_ask_id_[self.last_ask_id_] = EntryId(peer.info.peer_id)
        self.queries_by_ask_id_[self.last_ask_id_] = query
        peer.send(make_message(self.last_ask_id_))

    async def _wait(self, query: _Query, until: float) -> float | None:
        """Return the answer to a query, None if it is negative or does not arrive.

        If the caller disconnects meanwhile, its booking is not claimed and lapses.
        """
        try:
            async with asyncio.timeout_at(until):
                return await query.answer
        except TimeoutError:
            BOOKINGS_TOTAL.labels(end="unanswered").inc()
            return None
        finally:
            self._forget(query)

    def _forget(self, query: _Query) -> None:
        for ask_id in query.peers_by_ask_id_:
            self.queries_by_ask_id_.pop(ask_id, None)
        query.answer.cancel()

    def _settle(self, peer: PeerConnection, ask_id: int, value: float | None) -> None:
        """Record an answer; one that no query waits for is ignored."""
        query = self.queries_by_ask_id_.get(ask_id)
        if query is None or query.peers_by_ask_id_[ask_id] != peer.info.peer_id:
            return
        del self.queries_by_ask_id_[ask_id]
        query.settle(ask_id, value)

    def _on_answer(self, peer: PeerConnection, message: BookingAnswer) -> None:
        is_booked = math.isfinite(message.return_ms) and message.return_ms >= 0.0
        value = message.return_ms / 1_000.0 if is_booked else None
        self._settle(peer, message.ask_id, value)

    def _on_claim_answer(
        self, peer: PeerConnection, message: BookingClaimAnswer
    ) -> None:
        self._settle(peer, message.ask_id, 0.0 if message.is_booked else None)

    def _on_request(self, peer: PeerConnection, message: BookingRequest) -> None:
        query = BookingQuery(
            message.fingerprint,
            message.level,
            message.pieces,
            message.earliest_ms / 1_000.0,
            message.latest_ms / 1_000.0,
        )
        return_s = self.ledgers.book(ServiceId(message.service_id), query)
        return_ms = NOT_BOOKED_MS if return_s is None else return_s * 1_000.0
        peer.send(BookingAnswer(message.ask_id, return_ms))

    def _on_claim(self, peer: PeerConnection, message: BookingClaim) -> None:
        has_booking = self.ledgers.claim(
            ServiceId(message.service_id), message.fingerprint
        )
        peer.send(BookingClaimAnswer(message.ask_id, has_booking))
