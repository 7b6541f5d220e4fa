"""Messages by which two processes of any kind open a link and compare versions."""

from leadford.protocol._base import MessageBase


class Challenge(MessageBase, tag=1):
    """Open a connection from the accepting side, with a nonce for the peer's proof."""

    nonce: bytes
    peer_id: str
    version_min: int
    version_max: int


class Hello(MessageBase, tag=2):
    """Answer a challenge: name the connecting peer and prove that it has the secret."""

    peer_id: str
    role: str
    hall: str
    version_min: int
    version_max: int
    nonce: bytes
    proof: bytes
    config_version: int = 0


class Welcome(MessageBase, tag=4):
    """Accept a connection with the negotiated protocol version."""

    version: int
    proof: bytes
    config_version: int = 0
    draining: bool = False


class ConfigHint(MessageBase, tag=19):
    """Tell a peer which configuration version the sender uses."""

    version: int
