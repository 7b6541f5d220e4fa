"""Claim ports of the loopback interface that no other fleet on this machine uses."""

import socket
from random import Random

from leadford_standins.fleet._layout import LOOPBACK

# The range of all fleets, without its end; the operating system assigns higher ports to
# connections.
FIRST_PORT = 20_000
END_PORT = 32_000
# Ports of the block that one fleet claims; the largest preset needs 62.
BLOCK_PORTS = 200


class PortBlock:
    """Hold ports that no other fleet on this machine draws.

    Fleets that draw single ports can draw the same one, since each finds it free; then
    an agent answers where an entry of another fleet is expected. A fleet therefore
    claims a whole block, by binding its first port.
    """

    def __init__(self, *, random: Random) -> None:
        self.random = random
        self.claim_: socket.socket | None = None

    def claim(self, count: int) -> list[int]:
        """Return free ports of a block that is held until `release`.

        Errors: raises RuntimeError if no block has as many.
        """
        starts = list(range(FIRST_PORT, END_PORT, BLOCK_PORTS))
        self.random.shuffle(starts)
        for start in starts:
            self.claim_ = _bind(start)
            if self.claim_ is None:
                # Another fleet holds the block.
                continue
            ports = [p for p in range(start + 1, start + BLOCK_PORTS) if _is_free(p)]
            if len(ports) >= count:
                return ports[:count]
            self.release()
        raise RuntimeError(f"no block has {count} free ports")

    def release(self) -> None:
        """Release the block, so that another fleet can claim it."""
        if self.claim_ is not None:
            self.claim_.close()
            self.claim_ = None


def _bind(port: int) -> socket.socket | None:
    """Return a socket that holds a port; None if another process does."""
    claim = socket.socket()
    try:
        claim.bind((LOOPBACK, port))
    except OSError:
        claim.close()
        return None
    return claim


def _is_free(port: int) -> bool:
    """Tell whether no process listens on a port."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
