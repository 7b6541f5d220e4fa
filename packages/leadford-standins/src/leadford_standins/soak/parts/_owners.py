"""Find the process that opened a connection on loopback.

All entries use one address of the store, from which they derive their common secret, so
a proxy of the store can only tell them apart by the owner of the socket. Relies on
/proc of Linux. Simultaneous connections are looked up together: with 40 entries,
separate lookups take longer than the entries wait for the store.
"""

import asyncio
import os
import socket
import sys
from collections.abc import Callable
from pathlib import Path

from leadford_standins.soak.parts._proxy import Address, LinkState

TCP_TABLE = Path("/proc/net/tcp")
# Indexes of the fields in a line of the table.
LOCAL_FIELD = 1
REMOTE_FIELD = 2
INODE_FIELD = 9
# Time for which connections are collected before a lookup.
GATHER_DELAY_S = 0.03
SOCKET_PREFIX = "socket:["

Connection = tuple[Address, Address]


def _format_address(address: Address) -> str:
    """Return an address in the format of the table."""
    host, port = address
    number = int.from_bytes(socket.inet_aton(host), sys.byteorder)
    return f"{number:08X}:{port:04X}"


def read_inodes() -> dict[tuple[str, str], str]:
    """Return the inodes of all sockets by local and remote address.

    Both are needed: the system reuses a local port for connections to other targets.
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
        # The process has ended.
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
    connections: set[Connection], pids_by_name: dict[str, int]
) -> dict[Connection, str]:
    """Return the name of the process of each connection whose owner is found."""
    inodes = read_inodes()
    name_by_inode: dict[str, str] = {}
    for name, pid in pids_by_name.items():
        name_by_inode.update(dict.fromkeys(sockets_of(pid), name))
    owners: dict[Connection, str] = {}
    for near, far in connections:
        inode = inodes.get((_format_address(near), _format_address(far)))
        if inode in name_by_inode:
            owners[near, far] = name_by_inode[inode]
    return owners


class LinksByOwner:
    """Hold a link for each entry; `pids_by_name` returns the running processes."""

    def __init__(self, *, pids_by_name: Callable[[], dict[str, int]]) -> None:
        self.pids_by_name = pids_by_name
        self.links_by_name_: dict[str, LinkState] = {}
        self.unknown_link_ = LinkState()
        self.unknown_count_ = 0
        self.pending_: dict[Connection, asyncio.Future[str | None]] = {}
        self.lookup_task_: asyncio.Task[None] | None = None

    def link(self, name: str) -> LinkState:
        """Return the link of an entry."""
        return self.links_by_name_.setdefault(name, LinkState())

    async def link_of(self, near: Address, far: Address) -> LinkState:
        """Return the link of the process that connects from one address to another."""
        owner = asyncio.get_running_loop().create_future()
        self.pending_[near, far] = owner
        if self.lookup_task_ is None or self.lookup_task_.done():
            self.lookup_task_ = asyncio.create_task(self._look_up())
        name = await owner
        if name is None:
            self.unknown_count_ += 1
            return self.unknown_link_
        return self.link(name)

    async def _look_up(self) -> None:
        """Find the owners of waiting connections until none waits."""
        while self.pending_:
            await asyncio.sleep(GATHER_DELAY_S)
            pending, self.pending_ = self.pending_, {}
            owners = await asyncio.to_thread(
                find_owners, set(pending), self.pids_by_name()
            )
            for connection, owner in pending.items():
                if not owner.done():
                    owner.set_result(owners.get(connection))
