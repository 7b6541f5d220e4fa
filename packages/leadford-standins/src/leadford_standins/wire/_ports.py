"""Give out ports to entries that tests start and restart.

An entry is told its ports before it binds them, so that other processes and other tests
of this one must not draw the same in between.
"""

import socket
from random import SystemRandom

# This range is below the kernel's range of ephemeral ports.
PORT_RANGE_START, PORT_RANGE_END = 12_000, 32_000
# Not seeded: test runs in parallel must not draw the same ports.
_PORT_RANDOM = SystemRandom()
# Ports that this process has given out; an entry binds its ports only later, and binds
# them again when a test restarts it.
_GIVEN_PORTS: set[int] = set()


def free_port() -> int:
    """Return a port that is free now, and that no other call has returned.

    The port is outside of the kernel's ephemeral range.

    An entry that a test restarts binds its port again. Between the two, the kernel may
    give an ephemeral port to a connection of another process.
    """
    while True:
        port = _PORT_RANDOM.randrange(PORT_RANGE_START, PORT_RANGE_END)
        if port in _GIVEN_PORTS:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _GIVEN_PORTS.add(port)
        return port


def is_free(port: int) -> bool:
    """Return whether a server may listen on a port now."""
    with socket.socket() as sock:
        # As servers do: ended connections do not occupy the port.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
            sock.listen()
        except OSError:
            return False
        return True
