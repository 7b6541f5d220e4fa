"""Make the connections that an entry opens to agents and other entries.

Who is connected to is decided by `_directory` and `_entries`.
"""

from collections.abc import Callable
from random import Random

import msgspec

from leadford_server.logs import EventLog
from leadford_server.peers import Dialer, Identity, PeerHandler


class DialerFactory(msgspec.Struct, frozen=True):
    """Hold what every outgoing connection of the process shares."""

    identity: Identity
    handler: PeerHandler
    log: EventLog
    random: Random
    config_version: Callable[[], int]

    def make(self, address: str, on_disconnected: Callable[[], None]) -> Dialer:
        """Return a started dialer."""
        dialer = Dialer(
            address=address,
            identity=self.identity,
            handler=self.handler,
            log=self.log,
            random=self.random,
            config_version=self.config_version,
            on_disconnected=on_disconnected,
        )
        dialer.start()
        return dialer
