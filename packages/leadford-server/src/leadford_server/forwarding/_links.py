"""Connect entries: heartbeats, pieces for schedulers, and what a peer knows better."""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec

from leadford.common import EndpointId, EntryId, HallId, RequestId
from leadford.events import Event
from leadford.forwarding.admission import RetryReservation
from leadford.forwarding.batching import (
    BacklogKey,
    CapacityUse,
    GroupId,
    GroupLoad,
    PieceKey,
    PieceTask,
    PlaceId,
    schedulers_in_order,
)
from leadford.forwarding.endpoints import ListedEndpoint
from leadford.forwarding.routes import ForwardConfig, ResultHandle, ServiceId
from leadford.protocol import (
    CommitmentReport,
    EntryAddress,
    EntryHeartbeat,
    EntryListing,
    ForwardConfigAnswer,
    ForwardConfigRequest,
    GroupReport,
    LaneReport,
    ListingAnswer,
    ListingRequest,
    Message,
    PieceAnswer,
    PieceCancel,
    PieceRelease,
    PieceSubmit,
    PieceWorking,
    RefusalReport,
)
from leadford_server.forwarding._contract import KnownEntry
from leadford_server.forwarding._scheduler import PieceResult
from leadford_server.forwarding._stages import StageRunner
from leadford_server.forwarding._state import ForwardState
from leadford_server.peers import Dialer, Identity, PeerConnection, PeerServer
from leadford_server.settings import SocketAddress

# Seconds between heartbeats; commit dceba7c, not measured.
HEARTBEAT_S = 0.2
# Seconds after its last message for which an entry counts as alive; commit dceba7c, not
# measured.
LIVE_S = 0.9
# Seconds for which a peer must know better before it is asked; commit dceba7c, not
# measured.
BEHIND_S = 0.3
# Next entries in the order of ids that a link is held to; commit dceba7c, not measured.
RELAYS = 2
# First candidates for each group that a link is held to; commit dceba7c, not measured.
CANDIDATES = 2


class EntryLinks:
    """Hold links to the entries that this one works with.

    These are the first candidates for keeping each group, and the next entries in
    the order of ids, so that news spread over all of them. Their number does not
    grow with the fleet.
    """

    def __init__(
        self,
        *,
        entry_id: EntryId,
        secret: bytes,
        state: ForwardState,
        stages: StageRunner,
        random: Random,
        on_config: Callable[[ForwardConfig], None],
        on_listing: Callable[[list[ListedEndpoint], int], None],
        on_entries: Callable[[list[KnownEntry]], None],
    ) -> None:
        self.entry_id = entry_id
        self.state = state
        self.stages = stages
        self.random = random
        self.on_config = on_config
        self.on_listing = on_listing
        self.on_entries = on_entries
        self.identity = Identity(entry_id, "entry", state.hall, secret)
        self.entries_by_id_: dict[EntryId, KnownEntry] = {}
        self.dialers_by_id_: dict[EntryId, Dialer] = {}
        self.peers_by_id_: dict[EntryId, PeerConnection] = {}
        self.heard_at_by_id_: dict[EntryId, float] = {}
        self.draining_ids_: set[EntryId] = set()
        self.behind_since_: float | None = None
        self.listing_behind_since_: float | None = None
        self.server_: PeerServer | None = None
        self.address_ = ""
        self.is_draining_ = False

    async def start(self, address: SocketAddress) -> None:
        """Listen for peers."""
        self.server_ = PeerServer(
            identity=self.identity,
            handler=self,
            log=self.state.log,
            random=self.random,
            config_version=self._version,
            is_draining=lambda: self.is_draining_,
        )
        self.address_ = str(address)
        await self.server_.start(address)

    def stop(self) -> None:
        """Drop every link and listen no more."""
        for dialer in self.dialers_by_id_.values():
            dialer.task_.cancel()
        for peer in list(self.peers_by_id_.values()):
            peer.abort()
        self.server_.server_.close()

    async def run(self) -> None:
        """Send heartbeats and keep links up until cancelled."""
        while True:
            self._dial()
            self._send_heartbeats()
            self.stages.sent.check()
            await asyncio.sleep(HEARTBEAT_S * self.random.uniform(0.9, 1.1))

    def set_known_entries(self, entries: dict[EntryId, KnownEntry]) -> None:
        """Record which entries exist."""
        self.entries_by_id_ = dict(entries)
        self.entries_by_id_.pop(self.entry_id, None)

    def _version(self) -> int:
        table = self.state.table_
        return table.config.version if table is not None else 0

    def _wanted_peers(self) -> set[EntryId]:
        """Return the entries to hold links to."""
        halls = {entry.entry_id: entry.hall for entry in self.entries_by_id_.values()}
        halls[self.entry_id] = self.state.hall
        wanted: set[EntryId] = set()
        for group in self._groups():
            order = schedulers_in_order(group, halls, self.state.regions)
            wanted.update(order[:CANDIDATES])
        ring = sorted(halls)
        here = ring.index(self.entry_id)
        wanted.update(ring[(here + step) % len(ring)] for step in range(1, RELAYS + 1))
        wanted.discard(self.entry_id)
        return wanted

    def _groups(self) -> set[GroupId]:
        table = self.state.table_
        if table is None:
            return set()
        found = set()
        for service in table.config.services_by_id.values():
            if service.pieces is None:
                continue
            found.update(self.state.usable_by_group(service.service_id))
        return found

    def _dial(self) -> None:
        wanted = self._wanted_peers()
        for entry_id in set(self.dialers_by_id_) - wanted:
            dialer = self.dialers_by_id_.pop(entry_id)
            asyncio.ensure_future(dialer.stop())
        now = self.state.now()
        for entry_id in wanted - set(self.dialers_by_id_):
            if self.is_live(entry_id, now):
                continue
            dialer = Dialer(
                address=self.entries_by_id_[entry_id].address,
                identity=self.identity,
                handler=self,
                log=self.state.log,
                random=self.random,
                config_version=self._version,
                unreachable=lambda: None,
            )
            dialer.start()
            self.dialers_by_id_[entry_id] = dialer

    def _send_heartbeats(self) -> None:
        now = self.state.now()
        groups = [
            GroupReport(
                group.service_id,
                group.place,
                round(self.stages.scheduler_.wait_s(group) * 1_000.0, 1),
                self.stages.scheduler_.room_bytes(group),
            )
            for group in self._groups()
            if self.stages.groups.scheduler_of(group) == self.entry_id
        ]
        message = EntryHeartbeat(
            self.state.roster_.changed_revision_,
            groups,
            self.is_draining_,
            [
                CommitmentReport(key.service_id, key.is_urgent, pieces)
                for key, pieces in self.stages.backlog_.own_by_key_.items()
            ],
            [
                RefusalReport(
                    reservation.fingerprint,
                    (reservation.return_at - now) * 1_000.0,
                    reservation.is_urgent,
                    dict(reservation.pieces_by_service),
                )
                for reservation in self.state.reservations_.take_unsent()
            ],
            [
                LaneReport(use.endpoint_id, use.result_bytes, use.calls)
                for use in self.stages.scheduler_.uses_left(
                    lambda group: (
                        self.stages.groups.scheduler_of(group) != self.entry_id
                    )
                )
            ],
        )
        for entry_id, peer in list(self.peers_by_id_.items()):
            if now - self.heard_at_by_id_.get(entry_id, now) > 3 * LIVE_S:
                # Nothing has come for long: the other side is gone without a word.
                peer.abort()
                continue
            peer.send(message)

    def is_live(self, entry_id: EntryId, now: float) -> bool:
        """Tell whether an entry was heard a short while ago."""
        if entry_id not in self.peers_by_id_:
            return False
        return now - self.heard_at_by_id_.get(entry_id, -LIVE_S) < LIVE_S

    def halls_by_live_entry(self) -> dict[EntryId, HallId]:
        """Return the entries that are known to be alive, without this one."""
        now = self.state.now()
        return {
            entry_id: entry.hall
            for entry_id, entry in self.entries_by_id_.items()
            if self.is_live(entry_id, now) and entry_id not in self.draining_ids_
        }

    def submit(self, entry_id: EntryId, group: GroupId, task: PieceTask) -> bool:
        """Send a piece to a scheduler; return whether a connection stands."""
        peer = self.peers_by_id_.get(entry_id)
        if peer is None:
            return False
        now = self.state.now()
        return peer.send(
            PieceSubmit(
                task.correlation_id,
                group.service_id,
                group.place,
                task.request_id,
                task.key.stage,
                task.key.piece,
                task.private_key,
                list(task.inputs),
                task.result_bytes,
                (task.deadline - now) * 1_000.0,
                (task.due_at - now) * 1_000.0,
                (task.rank_at - now) * 1_000.0,
                list(task.excluded),
                dict(task.near_bytes_by_hall),
            )
        )

    def cancel(self, entry_id: EntryId, correlation_ids: list[int]) -> None:
        """Tell a scheduler that pieces are wanted no more."""
        peer = self.peers_by_id_.get(entry_id)
        if peer is not None:
            peer.send(PieceCancel(correlation_ids))

    def release(
        self, entry_id: EntryId, endpoint_id: EndpointId, handles: list[ResultHandle]
    ) -> bool:
        """Tell a scheduler that results have no reader any more."""
        peer = self.peers_by_id_.get(entry_id)
        if peer is None:
            return False
        return peer.send(PieceRelease(endpoint_id, list(handles)))

    def send_inputs_read(self, entry_id: EntryId, correlation_ids: list[int]) -> None:
        """Tell an entry that its pieces have fetched their inputs."""
        peer = self.peers_by_id_.get(entry_id)
        if peer is not None:
            peer.send(PieceWorking(correlation_ids))

    def reply(self, task: PieceTask, answer: PieceResult) -> None:
        """Send the answer for a piece to the entry that asked."""
        peer = self.peers_by_id_.get(task.origin)
        message = PieceAnswer(
            task.correlation_id,
            answer.handle or "",
            answer.reason,
            answer.endpoint_id or "",
        )
        if peer is not None and peer.send(message):
            return
        if answer.handle is not None:
            self.stages.scheduler_.release(answer.endpoint_id, [answer.handle])

    def peer_connected(self, peer: PeerConnection) -> None:
        """Record that a connection stands."""
        entry_id = EntryId(peer.info.peer_id)
        self.peers_by_id_[entry_id] = peer
        self.heard_at_by_id_[entry_id] = self.state.now()
        self.state.log.report(Event.PEER_CONNECTED, peer=entry_id)
        # Before the configuration: budgets are shared by the entries that are known.
        self._send_entries(peer)
        peer.announce_version()

    def _send_entries(self, peer: PeerConnection) -> None:
        own = EntryAddress(self.entry_id, self.address_, self.state.hall)
        known = [
            EntryAddress(entry.entry_id, entry.address, entry.hall)
            for entry in self.entries_by_id_.values()
        ]
        peer.send(EntryListing([own, *known]))

    def _on_entries(self, peer: PeerConnection, message: EntryListing) -> None:
        self.on_entries(
            [
                KnownEntry(EntryId(entry.entry_id), entry.address, HallId(entry.hall))
                for entry in message.entries
            ]
        )

    def peer_lost(self, peer: PeerConnection) -> None:
        """Record that a connection ended."""
        entry_id = EntryId(peer.info.peer_id)
        if self.peers_by_id_.get(entry_id) is not peer:
            return
        del self.peers_by_id_[entry_id]
        self.state.log.report(Event.PEER_LOST, peer=entry_id)
        self.stages.scheduler_.forget(entry_id)
        self.stages.sent.scheduler_lost(entry_id)
        self.stages.backlog_.forget(entry_id)

    def peer_version(self, peer: PeerConnection, version: int) -> None:
        """Record which configuration runs at a peer."""

    def peer_message(self, peer: PeerConnection, message: Message) -> None:
        """Handle one message."""
        entry_id = EntryId(peer.info.peer_id)
        self.heard_at_by_id_[entry_id] = self.state.now()
        if self.peers_by_id_.get(entry_id) is None:
            self.peers_by_id_[entry_id] = peer
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            handler(self, peer, message)

    def _on_heartbeat(self, peer: PeerConnection, message: EntryHeartbeat) -> None:
        now = self.state.now()
        entry_id = EntryId(peer.info.peer_id)
        if message.is_draining:
            self.draining_ids_.add(entry_id)
        else:
            self.draining_ids_.discard(entry_id)
        for report in message.groups:
            group = GroupId(ServiceId(report.service_id), PlaceId(report.place))
            load = GroupLoad(report.wait_ms / 1_000.0, report.room_bytes, now)
            self.stages.groups.loads_.record_load(group, load)
        counts = {
            BacklogKey(ServiceId(report.service_id), report.is_urgent): report.pieces
            for report in message.commitments
        }
        self.stages.backlog_.record_heard(entry_id, counts, now)
        for report in message.refused:
            reservation = RetryReservation(
                report.fingerprint,
                now + report.return_ms / 1_000.0,
                report.is_urgent,
                {ServiceId(name): count for name, count in report.pieces.items()},
            )
            self.state.reservations_.record(reservation, is_own=False)
        uses = [
            CapacityUse(
                EndpointId(report.endpoint_id), report.result_bytes, report.calls
            )
            for report in message.lanes
        ]
        self.stages.scheduler_.capacities_.record_foreign(entry_id, uses, now)
        self._ask_if_behind(peer, message, now)

    def _ask_if_behind(
        self, peer: PeerConnection, message: EntryHeartbeat, now: float
    ) -> None:
        """Ask a peer that has known better for a while."""
        if peer.peer_config_version_ > self._version():
            self.behind_since_ = self.behind_since_ or now
            if now - self.behind_since_ >= BEHIND_S or self._version() == 0:
                peer.send(ForwardConfigRequest(self._version()))
                self.behind_since_ = None
        revision = self.state.roster_.changed_revision_
        if message.listing_revision > revision:
            self.listing_behind_since_ = self.listing_behind_since_ or now
            if now - self.listing_behind_since_ >= BEHIND_S or revision == 0:
                peer.send(ListingRequest(revision))
                self.listing_behind_since_ = None

    def _on_submit(self, peer: PeerConnection, message: PieceSubmit) -> None:
        now = self.state.now()
        task = PieceTask(
            correlation_id=message.correlation_id,
            origin=EntryId(peer.info.peer_id),
            request_id=RequestId(message.request_id),
            key=PieceKey(message.stage, message.piece),
            private_key=message.private_key,
            inputs=tuple(ResultHandle(handle) for handle in message.inputs),
            result_bytes=message.result_bytes,
            deadline=now + message.remaining_ms / 1_000.0,
            due_at=now + message.due_ms / 1_000.0,
            rank_at=now + message.rank_ms / 1_000.0,
            queued_at=now,
            excluded=frozenset(EndpointId(text) for text in message.excluded),
            near_bytes_by_hall={
                HallId(hall): count for hall, count in message.near_bytes.items()
            },
        )
        group = GroupId(ServiceId(message.service_id), PlaceId(message.place))
        self.stages.scheduler_.submit(group, task)

    def _on_answer(self, peer: PeerConnection, message: PieceAnswer) -> None:
        answer = PieceResult(
            ResultHandle(message.handle) if message.handle else None,
            message.reason,
            EndpointId(message.endpoint_id) if message.endpoint_id else None,
        )
        self.stages.on_answer(
            EntryId(peer.info.peer_id), message.correlation_id, answer
        )

    def _on_inputs_read(self, peer: PeerConnection, message: PieceWorking) -> None:
        self.stages.on_working(EntryId(peer.info.peer_id), message.correlation_ids)

    def _on_cancel(self, peer: PeerConnection, message: PieceCancel) -> None:
        origin = EntryId(peer.info.peer_id)
        self.stages.scheduler_.cancel(origin, set(message.correlation_ids))

    def _on_release(self, peer: PeerConnection, message: PieceRelease) -> None:
        handles = [ResultHandle(handle) for handle in message.handles]
        self.stages.scheduler_.release(EndpointId(message.endpoint_id), handles)

    def _send_config(self, peer: PeerConnection, message: ForwardConfigRequest) -> None:
        table = self.state.table_
        if table is not None and table.config.version > message.known_version:
            data = msgspec.msgpack.encode(table.config)
            peer.send(ForwardConfigAnswer(table.config.version, data))

    def _on_config(self, peer: PeerConnection, message: ForwardConfigAnswer) -> None:
        try:
            config = msgspec.msgpack.decode(message.config, type=ForwardConfig)
        except msgspec.DecodeError as error:
            self.state.log.report(Event.CONFIG_UNREADABLE, error=str(error)[:200])
            return
        self.on_config(config)

    def _send_listing(self, peer: PeerConnection, message: ListingRequest) -> None:
        roster = self.state.roster_
        if roster.changed_revision_ > message.known_revision:
            data = msgspec.msgpack.encode(roster.listed())
            peer.send(ListingAnswer(roster.changed_revision_, data))

    def _on_listing(self, peer: PeerConnection, message: ListingAnswer) -> None:
        try:
            listed = msgspec.msgpack.decode(
                message.endpoints, type=list[ListedEndpoint]
            )
        except msgspec.DecodeError as error:
            self.state.log.report(Event.CONFIG_UNREADABLE, error=str(error)[:200])
            return
        self.on_listing(listed, message.revision)


_HANDLERS = {
    EntryHeartbeat: EntryLinks._on_heartbeat,
    PieceSubmit: EntryLinks._on_submit,
    PieceAnswer: EntryLinks._on_answer,
    EntryListing: EntryLinks._on_entries,
    PieceWorking: EntryLinks._on_inputs_read,
    PieceCancel: EntryLinks._on_cancel,
    PieceRelease: EntryLinks._on_release,
    ForwardConfigRequest: EntryLinks._send_config,
    ForwardConfigAnswer: EntryLinks._on_config,
    ListingRequest: EntryLinks._send_listing,
    ListingAnswer: EntryLinks._on_listing,
}
