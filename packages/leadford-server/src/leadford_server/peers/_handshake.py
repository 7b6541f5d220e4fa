"""Agree on a protocol version and prove the shared secret in both directions.

Each side sends a nonce, and the other proves with it that it knows the secret, before
any other message is sent. `leadford.protocol` computes the proofs.
"""

import asyncio
from random import Random

import msgspec
from returns.result import Failure, Result, Success
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from leadford.protocol import (
    PROTOCOL_VERSION,
    PROTOCOL_VERSION_MIN,
    Challenge,
    Hello,
    Message,
    Welcome,
    decode,
    encode,
    make_nonce,
    make_proof,
    proof_matches,
)
from leadford_server.peers._connection import HANDSHAKE_TIMEOUT_S, PeerInfo


class Identity(msgspec.Struct, frozen=True):
    """Identify this process to its peers."""

    peer_id: str
    role: str
    hall: str
    secret: bytes


async def _receive(socket: Connection, kind: type) -> Result[Message, str]:
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            data = await socket.recv()
    except (ConnectionClosed, TimeoutError) as error:
        return Failure(f"no {kind.__name__}: {type(error).__name__}")
    decoded = decode(data)
    if isinstance(decoded, Failure):
        return Failure(str(decoded.failure()))
    messages = decoded.unwrap().messages
    if len(messages) != 1 or not isinstance(messages[0], kind):
        return Failure(f"expected {kind.__name__}")
    return Success(messages[0])


def _negotiate(version_min: int, version_max: int) -> int | None:
    version = min(version_max, PROTOCOL_VERSION)
    if version < max(version_min, PROTOCOL_VERSION_MIN):
        return None
    return version


async def accept(
    socket: Connection, identity: Identity, random: Random, draining: bool
) -> Result[PeerInfo, str]:
    """Authenticate a connecting peer and return its identity."""
    nonce = make_nonce(random)
    challenge = Challenge(
        nonce, identity.peer_id, PROTOCOL_VERSION_MIN, PROTOCOL_VERSION
    )
    await socket.send(encode(0, [challenge]))
    received = await _receive(socket, Hello)
    if isinstance(received, Failure):
        return received
    hello = received.unwrap()
    if not proof_matches(
        hello.proof, identity.secret, nonce, hello.peer_id, identity.peer_id
    ):
        return Failure(f"{hello.peer_id}: wrong proof")
    version = _negotiate(hello.version_min, hello.version_max)
    if version is None:
        version_range = f"{hello.version_min}..{hello.version_max}"
        return Failure(
            f"{hello.peer_id}: no common protocol version with {version_range}"
        )
    proof = make_proof(identity.secret, hello.nonce, identity.peer_id, hello.peer_id)
    await socket.send(encode(0, [Welcome(version, proof, draining=draining)]))
    return Success(PeerInfo(hello.peer_id, hello.role, hello.hall, version))


async def connect(
    socket: Connection, identity: Identity, random: Random
) -> Result[PeerInfo, str]:
    """Answer the challenge of a peer, authenticate it and return its identity."""
    received = await _receive(socket, Challenge)
    if isinstance(received, Failure):
        return received
    challenge = received.unwrap()
    if _negotiate(challenge.version_min, challenge.version_max) is None:
        return Failure(f"{challenge.peer_id}: no common protocol version")
    nonce = make_nonce(random)
    proof = make_proof(
        identity.secret, challenge.nonce, identity.peer_id, challenge.peer_id
    )
    hello = Hello(
        identity.peer_id,
        identity.role,
        identity.hall,
        PROTOCOL_VERSION_MIN,
        PROTOCOL_VERSION,
        nonce,
        proof,
    )
    await socket.send(encode(0, [hello]))
    received = await _receive(socket, Welcome)
    if isinstance(received, Failure):
        return received
    welcome = received.unwrap()
    if not proof_matches(
        welcome.proof, identity.secret, nonce, challenge.peer_id, identity.peer_id
    ):
        return Failure(f"{challenge.peer_id}: wrong proof")
    return Success(
        PeerInfo(challenge.peer_id, "", "", welcome.version, welcome.draining)
    )
