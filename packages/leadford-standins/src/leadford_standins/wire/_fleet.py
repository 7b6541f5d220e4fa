"""Run a fleet of entries that follow the stand-in of the store on a simulated clock.

The entries run the real followers, relays and holders of the listing. Calls to the
store and messages between entries use no sockets and take the delays set here.
"""

import asyncio
import json
from random import Random
from types import SimpleNamespace
from urllib.parse import parse_qs, urlsplit

from returns.result import Result

from leadford.common import EntryId, HallId
from leadford.forwarding.endpoints import EndpointRoster
from leadford.forwarding.history import StoreEpochs
from leadford.forwarding.streams import SoftwareHistory
from leadford.protocol import PROTOCOL_VERSION, Message
from leadford_platform import PlatformObjects
from leadford_server.forwarding import ForwardBounds
from leadford_server.forwarding.membership import StoreRelays
from leadford_server.forwarding.store import (
    FollowerFactory,
    ListingHolder,
    ObjectsClient,
)
from leadford_server.web import NO_RESPONSE_STATUS, FetchedResponse
from leadford_standins.wire._store import StoreCopy, StoreFault, StoreStandIn

ENDPOINTS_KIND = "servers"
ANSWER_DELAY_S = 0.01
MESSAGE_DELAY_S = 0.002
HEARTBEAT_INTERVAL_S = 0.2
BOUNDS = ForwardBounds(drain_s=3.0, config_s=3.0, resync_s=4.0)


class SimulatedClient(ObjectsClient):
    """Call the stand-in of the store without a connection."""

    def __init__(self, store: StoreStandIn, log: object, epochs: StoreEpochs) -> None:
        codec = PlatformObjects()
        super().__init__(url="", http=None, codec=codec, log=log, epochs=epochs)
        self.store = store
        self.calls_ = 0

    async def call(
        self,
        path: str,
        *,
        wait_s: float = 0.0,
        first_byte_timeout_s: float = 1.5,
        **fields: object,
    ) -> Result:
        """Return the store's answer; a watch is answered on a change or on timeout."""
        self.calls_ += 1
        await asyncio.sleep(ANSWER_DELAY_S)
        if self.store.fault is StoreFault.SILENT:
            await asyncio.sleep(wait_s + first_byte_timeout_s)
            return self._handle_response(
                path, "read", FetchedResponse(NO_RESPONSE_STATUS, b"", 0.0, {})
            )
        status, page = await self._answer(path, wait_s)
        has_era = status != NO_RESPONSE_STATUS and self.store.era_ is not None
        headers = {"Store-Era": str(self.store.era_)} if has_era else {}
        body = json.dumps(page).encode()
        return self._handle_response(
            path, "read", FetchedResponse(status, body, 0.0, headers)
        )

    async def _answer(self, path: str, wait_s: float) -> tuple[int, dict]:
        store = self.store
        kind = urlsplit(path).path.rsplit("/", 1)[-1]
        fields = parse_qs(urlsplit(path).query)
        if "watch" not in fields:
            if store.fault is StoreFault.RESET:
                return NO_RESPONSE_STATUS, {}
            items = list(store.objects_by_kind_.get(kind, {}).values())
            return 200, {"items": items, "more": False, "at": store.revision_}
        return await self._watch(kind, int(fields["watch"][0]), wait_s)

    async def _watch(self, kind: str, revision: int, wait_s: float) -> tuple[int, dict]:
        store = self.store
        now = asyncio.get_running_loop().time
        deadline = now() + wait_s
        while True:
            if store.fault is StoreFault.RESET:
                return NO_RESPONSE_STATUS, {}
            events = store.events_after(kind, revision)
            if events is None:
                return 410, {}
            if events or now() >= deadline:
                return 200, {"events": events, "at": store.revision_}
            await asyncio.sleep(ANSWER_DELAY_S)


class SimulatedEntry:
    """Follow the store, or receive its changes from the entries that follow it."""

    def __init__(
        self, number: int, fleet: "SimulatedFleet", *, version: int = PROTOCOL_VERSION
    ) -> None:
        self.entry_id = EntryId(f"e{number}")
        self.version = version
        self.peers_by_id: dict[EntryId, SimulatedLink] = {}
        self.is_cut_off_ = False
        self.log_ = SimpleNamespace(report=lambda event, **fields: None)
        state = SimpleNamespace(
            entry_id=self.entry_id,
            now=asyncio.get_running_loop().time,
            hall=HallId("h"),
            config_version=lambda: 0,
            roster_=EndpointRoster(removed_grace_s=1.1),
            epochs_=StoreEpochs(),
            software_history_=SoftwareHistory(),
            log=self.log_,
        )
        self.roster_ = state.roster_
        self.client_ = SimulatedClient(fleet.store, self.log_, state.epochs_)
        self.relays = StoreRelays(
            state=state,
            config_kind="config",
            peers_by_id=self.peers_by_id,
            followers=lambda: fleet.follower_ids,
            entry_count=lambda: fleet.entry_count,
        )
        factory = FollowerFactory(
            client=self.client_,
            random=Random(fleet.random.random()),
            bounds=lambda: BOUNDS,
            live_peers=lambda: fleet.entry_count - 1,
            relays=self.relays,
        )
        self.listing_ = ListingHolder(
            objects=PlatformObjects(), state=state, on_change=lambda: None
        )
        self.follower = factory.make_relayed_follower(
            ENDPOINTS_KIND,
            self.listing_,
            bound_s=lambda: BOUNDS.drain_s,
            watch_s=lambda: 1.8,
            on_failed_call=self.listing_.on_failed_call,
        )

    async def send_heartbeats(self, random: Random) -> None:
        """Send the store's confirmations to all peers at each heartbeat."""
        while True:
            confirmed = self.relays.confirmations()
            if confirmed is not None:
                for peer in self.peers_by_id.values():
                    peer.send(confirmed)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * random.uniform(0.9, 1.1))


class SimulatedLink:
    """Deliver messages from one entry to another."""

    def __init__(self, sender: SimulatedEntry, receiver: SimulatedEntry) -> None:
        self.info = SimpleNamespace(
            peer_id=receiver.entry_id, protocol_version=receiver.version
        )
        self.sender = sender
        self.receiver = receiver

    def send(self, message: Message) -> bool:
        """Deliver a message after `MESSAGE_DELAY_S`, unless either end is cut off."""
        loop = asyncio.get_running_loop()
        loop.call_later(MESSAGE_DELAY_S, self._deliver, message)
        return True

    def _deliver(self, message: Message) -> None:
        if self.sender.is_cut_off_ or self.receiver.is_cut_off_:
            return
        info = SimpleNamespace(
            peer_id=self.sender.entry_id, protocol_version=self.sender.version
        )
        handler = self.receiver.relays.handlers()[type(message)]
        handler(SimpleNamespace(info=info), message)


class SimulatedFleet:
    """Run a store and entries, of which the first ones follow it for the others."""

    def __init__(
        self,
        *,
        followers: int = 3,
        resting: int = 3,
        seed: int = 1,
        versions: dict[int, int] | None = None,
    ) -> None:
        self.store = StoreStandIn()
        self.random = Random(seed)
        self.entry_count = followers + resting
        self.follower_ids = {EntryId(f"e{n}") for n in range(followers)}
        versions_by_number = versions or {}
        self.entries = [
            SimulatedEntry(n, self, version=versions_by_number.get(n, PROTOCOL_VERSION))
            for n in range(self.entry_count)
        ]
        for sender in self.entries:
            for receiver in self.entries:
                if sender is not receiver:
                    link = SimulatedLink(sender, receiver)
                    sender.peers_by_id[receiver.entry_id] = link
        self.running_: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the follower and the heartbeats of every entry."""
        for entry in self.entries:
            random = Random(self.random.random())
            self.running_.append(asyncio.ensure_future(entry.follower.run()))
            self.running_.append(asyncio.ensure_future(entry.send_heartbeats(random)))

    def stop(self) -> None:
        """Cancel all tasks of the entries."""
        for task in self.running_:
            task.cancel()

    def put(self, name: str, state: str = "ready", **fields: object) -> None:
        """Write the record of an endpoint."""
        spec = {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "h",
            "version": "1",
            "slots": 4,
            "state": state,
            "coldLeftMs": 0,
            "sequence": 1,
            **fields,
        }
        self.store.put(ENDPOINTS_KIND, name, spec)

    def change_other_kind(self) -> None:
        """Increase the revision of the store without a change of endpoints."""
        self.store.put("config", "main", {"version": self.store.revision_})

    async def be_away(self, seconds: float, held: StoreCopy) -> None:
        """Make the store unavailable for some seconds, then restore it from a copy."""
        self.store.fault = StoreFault.RESET
        await asyncio.sleep(seconds)
        self.store.restore(held)
        self.store.fault = StoreFault.NONE
