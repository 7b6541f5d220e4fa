"""Keep the newest readable configuration in force in this process.

Entries that are relays watch the store. All other processes learn of new versions from
their peers, read a newer version from the peer that has it, and poll the store at a
long interval. A configuration that cannot be read is logged, and the previous one stays
in force. The configuration of the users' platform is followed by
`leadford_server.forwarding.store` (`_follow`, `_config`).
"""

import asyncio
from collections.abc import Callable
from random import Random

from returns.result import Failure

from leadford.events import Event
from leadford.pipelines.config import ConfigTracker, FleetConfig
from leadford.protocol import (
    ChunkAnswer,
    ChunkRequest,
    HeadAnswer,
    HeadRequest,
    Message,
)
from leadford_server.logs import EventLog
from leadford_server.peers import PeerConnection
from leadford_server.pipelines.config._source import (
    HEAD_NAME,
    ConfigSource,
    PeerSource,
    StoredHead,
    StoreSource,
    answer_chunks,
    answer_head,
    head_from_value,
)
from leadford_server.pipelines.store import StoreClient, StoreErrorKind

# Interval between reads of the store by a process that is not a relay.
STORE_POLL_INTERVAL_S = 60.0
# Pause between reads of the store until the first configuration is in force, doubled
# before each pause up to the maximum.
FIRST_READ_RETRY_MIN_S = 0.2
FIRST_READ_RETRY_MAX_S = 5.0
# Mean pause of a relay after a failed watch or read of the store, and maximum pause of
# a process before it reads the store itself because its peer could not send the newer
# version.
RETRY_PAUSE_S = 1.0


class ConfigFollower:
    """Apply newer configurations in this process, never older ones.

    A relay watches the store. Any other process learns of a newer version from the
    frames of a peer, fetches it from that peer, and reads the store itself only at a
    long interval.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        log: EventLog,
        random: Random,
        is_relay: Callable[[], bool],
        on_change: Callable[[FleetConfig], None],
    ) -> None:
        self.store = store
        self.log = log
        self.random = random
        self.is_relay = is_relay
        self.on_change = on_change
        self.tracker_ = ConfigTracker()
        self.peers_: set[PeerConnection] = set()
        self.sources_by_peer_: dict[PeerConnection, PeerSource] = {}
        self.object_version_ = 0
        self.lock_ = asyncio.Lock()
        self.tasks_: set[asyncio.Task[None]] = set()
        self.wake_ = asyncio.Event()

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.tracker_.version

    def start(self) -> None:
        """Start to follow the store."""
        self._spawn(self._follow_store())

    def stop(self) -> None:
        """Cancel all tasks of the follower."""
        for task in self.tasks_:
            task.cancel()

    def peer_connected(self, peer: PeerConnection) -> None:
        """Announce the version in force in this process to a new peer."""
        self.peers_.add(peer)
        peer.announce_version()

    def peer_lost(self, peer: PeerConnection) -> None:
        """Remove a peer whose connection ended."""
        self.peers_.discard(peer)
        self.sources_by_peer_.pop(peer, None)
        self.wake_.set()

    def peer_version(self, peer: PeerConnection, version: int) -> None:
        """Fetch the configuration of a peer if its version is newer."""
        if self.tracker_.is_newer(version):
            self._spawn(self._catch_up(peer, version))

    def peer_message(self, peer: PeerConnection, message: Message) -> bool:
        """Handle a message about configuration; return whether it was one."""
        if isinstance(message, HeadRequest):
            if self.tracker_.head_ is not None:
                answer_head(peer, self.tracker_.head_)
            return True
        if isinstance(message, ChunkRequest):
            answer_chunks(peer, message, self.tracker_.data_by_key_)
            return True
        if isinstance(message, HeadAnswer | ChunkAnswer):
            source = self.sources_by_peer_.get(peer)
            if source is not None:
                source.handle_answer(message)
            return True
        return False

    async def apply_head(self, stored: StoredHead) -> bool:
        """Apply a head that this process itself wrote."""
        return await self._apply_stored(stored, StoreSource(store=self.store))

    async def read_store(self) -> bool:
        """Read the store once; return whether its configuration is in force."""
        is_patient = self.tracker_.head_ is None
        source = StoreSource(store=self.store, is_patient=is_patient)
        read = await source.head()
        if isinstance(read, Failure):
            return False
        return await self._apply_stored(read.unwrap(), source)

    async def _follow_store(self) -> None:
        wait_s = FIRST_READ_RETRY_MIN_S
        while not await self.read_store() and self.tracker_.head_ is None:
            wait_s = min(FIRST_READ_RETRY_MAX_S, wait_s * 2.0)
            await self._pause(wait_s)
        while True:
            if self.is_relay():
                await self._watch_once()
                continue
            await self._pause(STORE_POLL_INTERVAL_S)
            if not self.is_relay():
                await self.read_store()

    async def _pause(self, wait_s: float) -> None:
        """Wait with jitter; end early if a peer is lost, as relays may then change."""
        self.wake_.clear()
        try:
            wait_s *= self.random.uniform(0.75, 1.25)
            async with asyncio.timeout(wait_s):
                await self.wake_.wait()
        except TimeoutError:
            # No peer was lost: the caller goes on after the full pause.
            return

    async def _watch_once(self) -> None:
        if not self.store.available_:
            # A store that is unavailable never answers a watch that begins now, and a
            # read times out sooner.
            if not await self.read_store():
                await self._pause_before_retry()
            return
        watched = await self.store.watch(HEAD_NAME, self.object_version_)
        if isinstance(watched, Failure):
            if watched.failure().kind is not StoreErrorKind.UNCHANGED:
                await self._pause_before_retry()
            return
        value = watched.unwrap()
        parsed = head_from_value(value)
        if isinstance(parsed, Failure):
            self.object_version_ = max(self.object_version_, value.version)
            self.log.report(Event.CONFIG_UNREADABLE, error=parsed.failure())
            return
        if not await self._apply_stored(parsed.unwrap(), StoreSource(store=self.store)):
            await self._pause_before_retry()

    async def _pause_before_retry(self) -> None:
        await asyncio.sleep(RETRY_PAUSE_S * self.random.uniform(0.5, 1.5))

    async def _catch_up(self, peer: PeerConnection, version: int) -> None:
        async with self.lock_:
            if not self.tracker_.is_newer(version):
                return
            source = PeerSource(peer=peer)
            self.sources_by_peer_[peer] = source
            read = await source.head()
            applied = not isinstance(read, Failure)
            applied = applied and await self._apply_locked(read.unwrap(), source)
        if applied or not self.tracker_.is_newer(version):
            return
        await asyncio.sleep(RETRY_PAUSE_S * self.random.random())
        if self.tracker_.is_newer(version):
            await self.read_store()

    async def _apply_stored(self, stored: StoredHead, source: ConfigSource) -> bool:
        """Apply a head from the store; return whether its version is in force.

        The version of the object is recorded only then. Otherwise the next watch would
        wait for a later version, and a head whose chunks could not be read would not be
        requested again.
        """
        await self._apply(stored, source)
        if self.tracker_.is_newer(stored.head.version):
            return False
        self.object_version_ = max(self.object_version_, stored.object_version)
        return True

    async def _apply(self, stored: StoredHead, source: ConfigSource) -> bool:
        async with self.lock_:
            return await self._apply_locked(stored, source)

    async def _apply_locked(self, stored: StoredHead, source: ConfigSource) -> bool:
        head = stored.head
        if not self.tracker_.is_newer(head.version):
            return False
        fetched = await source.chunks(self.tracker_.missing_keys(head))
        if isinstance(fetched, Failure):
            self.log.report(
                Event.CONFIG_UNREADABLE, version=head.version, error=fetched.failure()
            )
            return False
        offered = self.tracker_.offer(head, fetched.unwrap())
        if isinstance(offered, Failure):
            self.log.report(
                Event.CONFIG_UNREADABLE,
                version=head.version,
                error=str(offered.failure()),
            )
            return False
        self.log.report(Event.CONFIG_IN_FORCE, version=head.version)
        self.on_change(offered.unwrap())
        for peer in self.peers_:
            peer.announce_version()
        return True

    def _spawn(self, work: object) -> None:
        task = asyncio.create_task(work)
        self.tasks_.add(task)
        task.add_done_callback(self.tasks_.discard)
