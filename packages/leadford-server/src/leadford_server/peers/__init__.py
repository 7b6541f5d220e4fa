"""Connections between leadford's own processes."""

from leadford_server.peers._connection import PeerConnection, PeerHandler, PeerInfo
from leadford_server.peers._dialer import Dialer
from leadford_server.peers._handshake import Identity
from leadford_server.peers._server import PeerServer

__all__ = [
    "Dialer",
    "Identity",
    "PeerConnection",
    "PeerHandler",
    "PeerInfo",
    "PeerServer",
]
