"""Hold the parts of a running soak: store, endpoints, entries, links, configuration.

Owns their start and stop. Injectors change them; callers send to the entries.
"""

import asyncio
import copy
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Protocol

from leadford_platform import PlatformObjects
from leadford_standins.soak._base import (
    EVERYTHING,
    CrashingPrompts,
    RepeatedRequest,
    SoakOptions,
)
from leadford_standins.soak._ledger import Ledger
from leadford_standins.soak.parts._config import ConfigWriter
from leadford_standins.soak.parts._endpoints import EndpointPool
from leadford_standins.soak.parts._owners import LinksByOwner
from leadford_standins.soak.parts._processes import (
    PEERS_PORT,
    AddressBlock,
    EntryProcess,
)
from leadford_standins.soak.parts._proxy import Address, FaultProxy, LinkState
from leadford_standins.wire import StoreStandIn

# Interval at which the lag of the soak itself is checked, and the lag that counts.
LAG_CHECK_INTERVAL_S = 0.05
LAG_THRESHOLD_S = 0.25
# Interval of the checks for entries that ended by themselves.
RESTART_INTERVAL_S = 0.5


class Builds(Protocol):
    """Return the program that starts an entry."""

    def program(self, *, is_newer: bool) -> Path:
        """Return the program of a build."""

    def first_program(self, options: SoakOptions, number: int) -> Path:
        """Return the program with which an entry starts."""


class ProxiedPeerStore(StoreStandIn):
    """List entries at the addresses of the proxies in front of them."""

    def __init__(self) -> None:
        super().__init__()
        self.peers_by_entry: dict[str, str] = {}

    def put(self, kind: str, name: str, spec: dict) -> None:
        """Write an object, with the address of the proxy if it lists an entry."""
        if kind == PlatformObjects.entries_kind and name in self.peers_by_entry:
            spec = {**spec, "peers": self.peers_by_entry[name]}
        super().put(kind, name, spec)


class SoakScene:
    """Hold the parts; an async context manager that starts and stops them."""

    def __init__(
        self,
        *,
        options: SoakOptions,
        random: Random,
        folder: Path,
        ledger: Ledger,
        builds: Builds,
    ) -> None:
        self.options = options
        self.random = random
        self.folder = folder
        self.builds = builds
        self.ledger = ledger
        self.entries_: list[EntryProcess] = []
        self.peer_links_: dict[str, LinkState] = {}
        self.proxies_: list[FaultProxy] = []
        self.on_stop_: Callable[[EntryProcess], None] = lambda entry: None
        self.repeat_: Callable[[RepeatedRequest], None] = lambda request: None
        self.send_prompts_: Callable[[CrashingPrompts], None] = lambda prompts: None
        self.favour_: Callable[[EntryProcess | None, float], None] = (
            lambda entry, fraction: None
        )

    async def __aenter__(self) -> "SoakScene":
        self.block_ = AddressBlock()
        self.block_.__enter__()
        self.store_ = ProxiedPeerStore()
        self.restore_lock_ = asyncio.Lock()
        halls = [f"hall-{number}" for number in range(self.options.endpoints)]
        self.config_ = ConfigWriter(random=self.random)
        self.endpoints_ = EndpointPool(
            store=self.store_,
            ledger=self.ledger,
            halls=halls,
            bounds=self.options.bounds,
            has_two_versions=self.options.resume_part > 0.0,
        )
        self.store_links_ = LinksByOwner(pids_by_name=self._pids)
        target = self.store_.start()
        proxy = FaultProxy(target=target, link_of=self.store_links_.link_of)
        store_address = await proxy.start()
        self.proxies_.append(proxy)
        await self.endpoints_.start()
        self.write_config()
        for number in range(self.options.entries):
            await self._add_entry(number, halls, store_address)
        self.ends_at_ = float("inf")
        self.background_tasks_ = [
            asyncio.create_task(self._watch_lag()),
            asyncio.create_task(self._restart_ended_entries()),
        ]
        return self

    async def _add_entry(self, number: int, halls: list[str], store: str) -> None:
        name = f"entry-{number}"
        entry = EntryProcess(
            name=name,
            ip=self.block_.address(number),
            hall=halls[number % len(halls)],
            halls=halls,
            store=store,
            bounds=self.options.bounds,
            folder=self.folder,
            ledger=self.ledger,
            program=self.builds.first_program(self.options, number),
            newer_program=self.builds.program(is_newer=True),
        )
        link = LinkState()

        async def link_of(near: Address, far: Address) -> LinkState:
            return link

        proxy = FaultProxy(target=f"{entry.ip}:{PEERS_PORT}", link_of=link_of)
        self.store_.peers_by_entry[name] = await proxy.start()
        self.peer_links_[name] = link
        self.proxies_.append(proxy)
        entry.write_settings()
        entry.start()
        self.entries_.append(entry)

    async def __aexit__(self, *error: object) -> None:
        for task in self.background_tasks_:
            task.cancel()
        self.ledger.unowned_ = self.store_links_.unknown_count_
        for entry in self.entries_:
            entry.kill()
        await self.endpoints_.stop()
        for proxy in self.proxies_:
            proxy.stop()
        self.store_.stop()
        self.block_.__exit__(*error)

    def _pids(self) -> dict[str, int]:
        return {e.name: e.pid for e in self.entries_ if e.pid is not None}

    def entry(self, target: int) -> EntryProcess:
        """Return the entry for a drawn target number."""
        return self.entries_[target % len(self.entries_)]

    def write_config(self) -> None:
        """Write the configuration to the store and record it as acknowledged."""
        self.store_.put("config", "main", self._document())
        self.config_.record_version(asyncio.get_running_loop().time())

    def _document(self) -> dict:
        return copy.deepcopy(self.config_.document_)

    async def _restart_ended_entries(self) -> None:
        """Restart entries that ended by themselves; for the checks they ran on."""
        while True:
            await asyncio.sleep(RESTART_INTERVAL_S)
            for entry in self.entries_:
                if not entry.is_ending_ and not entry.is_running():
                    entry.start()

    async def _watch_lag(self) -> None:
        """Record when this process lags, since its callers and endpoints lag too."""
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            late_s = loop.time() - started_at - LAG_CHECK_INTERVAL_S
            self.ledger.lag_most_s_ = max(self.ledger.lag_most_s_, late_s)
            if late_s > LAG_THRESHOLD_S:
                self.ledger.disturb(EVERYTHING, None, started_at, loop.time())
