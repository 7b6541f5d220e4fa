"""Apply configurations from the store, or from a peer with a newer version.

Owns the route table in force and the time at which the store last confirmed it. The
version in force never decreases; after a configuration that cannot be read, the last
one stays in force.
"""

from collections.abc import Callable

from leadford.events import Event
from leadford.forwarding.routes import ForwardConfig, RouteTable, makes_resumable
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding._store_contract import ObjectCodec, ObjectEvent
from leadford_server.forwarding.store._base import Listing
from leadford_server.forwarding.store._client import FROM_STORE, decoded_or_none


class ConfigHolder:
    """Hold the configuration in force.

    `on_change` is called after a new configuration is in force.
    """

    def __init__(
        self,
        *,
        objects: ObjectCodec,
        state: ForwardState,
        on_change: Callable[[ForwardConfig], None],
    ) -> None:
        self.objects = objects
        self.state = state
        self.on_change = on_change

    def on_list(self, listing: Listing) -> None:
        """Apply a listing of the store."""
        for item in listing.items:
            self._read(item)

    def on_event(self, event: ObjectEvent) -> None:
        """Apply one change in the store."""
        if not event.is_gone:
            self._read(event.item)

    def on_confirmed(self, confirmed_at: float) -> None:
        """Record when the store confirmed to this entry that no change is missing."""
        if self.state.table_ is not None:
            self.on_relayed(confirmed_at)
            last_at = self.state.config_confirmed_at_
            self.state.config_confirmed_at_ = max(confirmed_at, last_at or confirmed_at)

    def on_relayed(self, confirmed_at: float) -> None:
        """Record when the store confirmed to another entry that this one is current."""
        seen_at = self.state.config_seen_at_
        if self.state.table_ is not None:
            self.state.config_seen_at_ = max(confirmed_at, seen_at or confirmed_at)

    def apply(self, config: ForwardConfig, source: str) -> None:
        """Put a configuration in force unless it is older than the one in force.

        `source` is the peer that sent it, or `FROM_STORE`.
        """
        table = self.state.table_
        if table is not None and config.version <= table.config.version:
            return
        new_table = RouteTable.from_config(config)
        if table is not None and makes_resumable(table, new_table):
            self.state.origin_ledger_.record_gap(self.state.now())
        self.state.table_ = new_table
        self.state.log.report(
            Event.CONFIG_IN_FORCE,
            version=config.version,
            before=table.config.version if table else 0,
            routes=len(config.routes),
            source=source,
        )
        self.on_change(config)

    def _read(self, item: dict) -> None:
        if self.objects.object_name(item) != self.objects.config_name:
            return
        config = decoded_or_none(self.objects.read_config(item), self.state.log)
        if config is not None:
            self.apply(config, FROM_STORE)
