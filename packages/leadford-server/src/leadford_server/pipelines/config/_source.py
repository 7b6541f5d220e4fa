"""Read heads and chunks from the store or from a peer.

Both kinds of source have the same two methods. A failure is a text for the log; the
follower decides what to try next.
"""

import asyncio
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from leadford.pipelines.config import ConfigHead, decode_head, encode_head
from leadford.protocol import (
    ChunkAnswer,
    ChunkRequest,
    HeadAnswer,
    HeadRequest,
    Message,
)
from leadford_server.peers import PeerConnection
from leadford_server.pipelines.store import StoreClient, StoredValue

# Names of the stored objects.
HEAD_NAME = "config/head"
CHUNK_PREFIX = "config/chunks/"
# Timeouts for a head from a peer, and for its chunks. The second one starts again as
# long as chunks arrive.
PEER_HEAD_TIMEOUT_S = 1.0
PEER_CHUNKS_TIMEOUT_S = 3.0
MAX_CONCURRENT_CHUNK_READS = 8


class StoredHead(msgspec.Struct, frozen=True):
    """Hold a head and the store's version of the object that it was read from."""

    head: ConfigHead
    object_version: int


class ConfigSource(Protocol):
    """Read the head and the chunks of a configuration."""

    async def head(self) -> Result[StoredHead, str]:
        """Return the newest head of the source."""

    async def chunks(self, keys: list[str]) -> Result[dict[str, bytes], str]:
        """Return chunks by key."""


def head_from_value(value: StoredValue) -> Result[StoredHead, str]:
    """Decode the head in a stored object."""
    decoded = decode_head(value.data)
    if isinstance(decoded, Failure):
        return Failure(str(decoded.failure()))
    return Success(StoredHead(decoded.unwrap(), value.version))


class StoreSource:
    """Read a configuration from the platform's store.

    With `is_patient` it waits for a store that takes long for each call.
    """

    def __init__(self, *, store: StoreClient, is_patient: bool = False) -> None:
        self.store = store
        self.get = store.get_patiently if is_patient else store.get

    async def head(self) -> Result[StoredHead, str]:
        """Read the head object."""
        read = await self.get(HEAD_NAME)
        if isinstance(read, Failure):
            return Failure(read.failure().kind.value)
        return head_from_value(read.unwrap())

    async def chunks(self, keys: list[str]) -> Result[dict[str, bytes], str]:
        """Read chunk objects, a few at a time."""
        data_by_key: dict[str, bytes] = {}
        for start in range(0, len(keys), MAX_CONCURRENT_CHUNK_READS):
            group = keys[start : start + MAX_CONCURRENT_CHUNK_READS]
            reads = [self.get(CHUNK_PREFIX + key) for key in group]
            for key, read in zip(group, await asyncio.gather(*reads), strict=True):
                if isinstance(read, Failure):
                    return Failure(f"chunk {key}: {read.failure().kind.value}")
                data_by_key[key] = read.unwrap().data
        return Success(data_by_key)


class PeerSource:
    """Read a configuration from a peer that has a newer version."""

    def __init__(self, *, peer: PeerConnection) -> None:
        self.peer = peer
        self.head_answer_: asyncio.Future[HeadAnswer] | None = None
        self.requested_keys_: set[str] = set()
        self.data_by_key_: dict[str, bytes] = {}
        self.all_received_ = asyncio.Event()

    async def head(self) -> Result[StoredHead, str]:
        """Request the head from the peer."""
        self.head_answer_ = asyncio.get_running_loop().create_future()
        self.peer.send(HeadRequest(0))
        try:
            async with asyncio.timeout(PEER_HEAD_TIMEOUT_S):
                answer = await self.head_answer_
        except TimeoutError:
            return Failure("peer is silent")
        decoded = decode_head(answer.head)
        if isinstance(decoded, Failure):
            return Failure(str(decoded.failure()))
        return Success(StoredHead(decoded.unwrap(), 0))

    async def chunks(self, keys: list[str]) -> Result[dict[str, bytes], str]:
        """Request chunks from the peer and wait for all of them."""
        if not keys:
            return Success({})
        self.requested_keys_ = set(keys)
        self.peer.send(ChunkRequest(keys))
        while not self.all_received_.is_set():
            received_count = len(self.data_by_key_)
            try:
                async with asyncio.timeout(PEER_CHUNKS_TIMEOUT_S):
                    await self.all_received_.wait()
            except TimeoutError:
                # On a slow link chunks keep arriving; another request would add to the
                # load of the link.
                if len(self.data_by_key_) == received_count:
                    return Failure("peer sent only part of the chunks")
        return Success(self.data_by_key_)

    def handle_answer(self, message: Message) -> None:
        """Handle an answer of the peer; ignore chunks that were not requested."""
        if isinstance(message, HeadAnswer):
            if self.head_answer_ is not None and not self.head_answer_.done():
                self.head_answer_.set_result(message)
            return
        if isinstance(message, ChunkAnswer) and message.key in self.requested_keys_:
            self.data_by_key_[message.key] = message.chunk
            if len(self.data_by_key_) == len(self.requested_keys_):
                self.all_received_.set()


def answer_head(peer: PeerConnection, head: ConfigHead) -> None:
    """Send a peer the head in force in this process, without the audit records.

    The audit records would be most of the bytes, and code that shows them reads them
    from the store.
    """
    head_without_audit = msgspec.structs.replace(head, audit=())
    peer.send(HeadAnswer(head.version, encode_head(head_without_audit)))


def answer_chunks(
    peer: PeerConnection, request: ChunkRequest, data_by_key: dict[str, bytes]
) -> None:
    """Send a peer those of the requested chunks that this process holds."""
    for key in request.keys:
        data = data_by_key.get(key)
        if data is not None:
            peer.send(ChunkAnswer(key, data))
