"""Keep the newest readable configuration in force in this process.

Entries that are relays watch the store; the others hear versions from their peers and
read from whoever is ahead, and poll the store seldom. A configuration that cannot be
read is reported and leaves the one in force. Configuration of the users' platform is
followed by `leadford_server.forwarding` (`_store`, `_follow`, `_config`).
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

# Seconds between readings of the store by a process that is no relay.
POLL_S = 60.0
# Seconds between tries until the first configuration is read, doubled up to the most;
# neither was measured.
FIRST_WAIT_S = 0.2
FIRST_WAIT_MAX_S = 5.0
# Seconds within which a process reads the store itself when its peer could not give the
# newer version, and after a watch that failed.
CATCH_UP_WAIT_S = 1.0


class ConfigFollower:
    """Move this process forward in configuration, never back.

    A relay waits on the store's watch. Everyone else hears of a newer version from
    the frames of any peer, fetches it from that peer, and reads the store itself
    only now and then.
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
        """Begin to follow."""
        self._spawn(self._follow_store())

    def stop(self) -> None:
        """Stop following."""
        for task in self.tasks_:
            task.cancel()

    def peer_connected(self, peer: PeerConnection) -> None:
        """Tell a new peer which version runs here."""
        self.peers_.add(peer)
        peer.announce_version()

    def peer_lost(self, peer: PeerConnection) -> None:
        """Forget a peer."""
        self.peers_.discard(peer)
        self.sources_by_peer_.pop(peer, None)
        self.wake_.set()

    def peer_version(self, peer: PeerConnection, version: int) -> None:
        """Catch up with a peer that is ahead."""
        if self.tracker_.is_newer(version):
            self._spawn(self._catch_up(peer, version))

    def peer_message(self, peer: PeerConnection, message: Message) -> bool:
        """Take a message about configuration; return whether it was one."""
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
                source.take(message)
            return True
        return False

    async def take_head(self, stored: StoredHead) -> bool:
        """Put a head that this process itself wrote in force."""
        return await self._take_stored(stored, StoreSource(store=self.store))

    async def read_store(self) -> bool:
        """Read the store once; return whether what it holds is in force."""
        source = StoreSource(store=self.store)
        read = await source.head()
        if isinstance(read, Failure):
            return False
        return await self._take_stored(read.unwrap(), source)

    async def _follow_store(self) -> None:
        wait_s = FIRST_WAIT_S
        while not await self.read_store() and self.tracker_.head_ is None:
            wait_s = min(FIRST_WAIT_MAX_S, wait_s * 2.0)
            await self._pause(wait_s)
        while True:
            if self.is_relay():
                await self._watch_once()
                continue
            await self._pause(POLL_S)
            if not self.is_relay():
                await self.read_store()

    async def _pause(self, wait_s: float) -> None:
        """Wait with jitter, cut short when a peer is lost or a relay may change."""
        self.wake_.clear()
        try:
            wait_s *= self.random.uniform(0.75, 1.25)
            await asyncio.wait_for(self.wake_.wait(), wait_s)
        except TimeoutError:
            # Nothing woke it: the caller looks again.
            return

    async def _watch_once(self) -> None:
        if not self.store.available_:
            # A store that is silent never answers a watch that begins now, and a read
            # is given up sooner.
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
        if not await self._take_stored(parsed.unwrap(), StoreSource(store=self.store)):
            await self._pause_before_retry()

    async def _pause_before_retry(self) -> None:
        await asyncio.sleep(CATCH_UP_WAIT_S * self.random.uniform(0.5, 1.5))

    async def _catch_up(self, peer: PeerConnection, version: int) -> None:
        async with self.lock_:
            if not self.tracker_.is_newer(version):
                return
            source = PeerSource(peer=peer)
            self.sources_by_peer_[peer] = source
            read = await source.head()
            taken = not isinstance(read, Failure)
            taken = taken and await self._take_locked(read.unwrap(), source)
        if taken or not self.tracker_.is_newer(version):
            return
        await asyncio.sleep(CATCH_UP_WAIT_S * self.random.random())
        if self.tracker_.is_newer(version):
            await self.read_store()

    async def _take_stored(self, stored: StoredHead, source: ConfigSource) -> bool:
        """Put a head of the store in force; one that cannot be read is asked for again.

        Were it counted as heard of, the next watch would wait for a later one.
        """
        await self._take(stored, source)
        if self.tracker_.is_newer(stored.head.version):
            return False
        self.object_version_ = max(self.object_version_, stored.object_version)
        return True

    async def _take(self, stored: StoredHead, source: ConfigSource) -> bool:
        async with self.lock_:
            return await self._take_locked(stored, source)

    async def _take_locked(self, stored: StoredHead, source: ConfigSource) -> bool:
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
