"""Tell which process a connection on loopback comes from.

All entries name the store by one address, from which they derive their common secret,
so a proxy of the store can tell them apart by the owner of the socket only. Relies on
/proc of Linux. Connections that come together are looked up together: with 40 entries
each on its own took longer than the entries wait for the store.
"""

import asyncio
import os
import socket
import sys
from collections.abc import Callable
from pathlib import Path

from leadford_standins.soak.parts._proxy import Address, LinkState

TCP_TABLE = Path("/proc/net/tcp")
# Fields of a line of the table, counted from 0.
LOCAL_FIELD = 1
REMOTE_FIELD = 2
INODE_FIELD = 9
# Seconds for which connections are gathered before they are looked up.
GATHER_S = 0.03
SOCKET_PREFIX = "socket:["

Connection = tuple[Address, Address]


def _table_form(address: Address) -> str:
    """Return an address as the table writes it."""
    host, port = address
    number = int.from_bytes(socket.inet_aton(host), sys.byteorder)
    return f"{number:08X}:{port:04X}"


def read_inodes() -> dict[tuple[str, str], str]:
    """Return the inodes of all sockets by their two addresses, as the table has them.

    Both count: the system gives one port to several connections with other targets.
    """
    inodes: dict[tuple[str, str], str] = {}
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[INODE_FIELD] != "0":
            inodes[fields[LOCAL_FIELD], fields[REMOTE_FIELD]] = fields[INODE_FIELD]
    return inodes


def sockets_of(pid: int) -> set[str]:
    """Return the inodes of the sockets that a process has open."""
    folder = f"/proc/{pid}/fd"
    inodes: set[str] = set()
    try:
        numbers = os.listdir(folder)
    except OSError:
        # The process is gone.
        return inodes
    for number in numbers:
        try:
            target = os.readlink(f"{folder}/{number}")
        except OSError:
            # The descriptor was closed meanwhile.
            continue
        if target.startswith(SOCKET_PREFIX):
            inodes.add(target.removeprefix(SOCKET_PREFIX).rstrip("]"))
    return inodes


def find_owners(
    wanted: set[Connection], pids_by_name: dict[str, int]
) -> dict[Connection, str]:
    """Return which process opened each connection, as far as that can be seen."""
    inodes = read_inodes()
    name_by_inode: dict[str, str] = {}
    for name, pid in pids_by_name.items():
        name_by_inode.update(dict.fromkeys(sockets_of(pid), name))
    owners: dict[Connection, str] = {}
    for near, far in wanted:
        inode = inodes.get((_table_form(near), _table_form(far)))
        if inode in name_by_inode:
            owners[near, far] = name_by_inode[inode]
    return owners


class LinksByOwner:
    """Hold a link for each entry; `pids_by_name` tells which processes run."""

    def __init__(self, *, pids_by_name: Callable[[], dict[str, int]]) -> None:
        self.pids_by_name = pids_by_name
        self.links_by_name_: dict[str, LinkState] = {}
        self.nobody_ = LinkState()
        self.unknown_ = 0
        self.waiting_: dict[Connection, asyncio.Future[str | None]] = {}
        self.lookup_: asyncio.Task[None] | None = None

    def link(self, name: str) -> LinkState:
        """Return the link of an entry."""
        return self.links_by_name_.setdefault(name, LinkState())

    async def link_of(self, near: Address, far: Address) -> LinkState:
        """Return the link of whoever connects from one address to another."""
        found = asyncio.get_running_loop().create_future()
        self.waiting_[near, far] = found
        if self.lookup_ is None or self.lookup_.done():
            self.lookup_ = asyncio.create_task(self._look_up())
        name = await found
        if name is None:
            self.unknown_ += 1
            return self.nobody_
        return self.link(name)

    async def _look_up(self) -> None:
        """Find the owners of all connections that wait, until none does."""
        while self.waiting_:
            await asyncio.sleep(GATHER_S)
            waiting, self.waiting_ = self.waiting_, {}
            owners = await asyncio.to_thread(
                find_owners, set(waiting), self.pids_by_name()
            )
            for connection, found in waiting.items():
                if not found.done():
                    found.set_result(owners.get(connection))
