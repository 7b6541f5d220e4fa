"""Tell which process a connection on loopback comes from.

All entries name the store by one address, from which they derive their common secret,
so a proxy of the store can tell them apart by the owner of the socket only. Relies on
/proc of Linux.
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


def _table_form(address: Address) -> str:
    """Return an address as the table writes it."""
    host, port = address
    number = int.from_bytes(socket.inet_aton(host), sys.byteorder)
    return f"{number:08X}:{port:04X}"


def socket_inode(local: Address, remote: Address) -> str | None:
    """Return the inode of the socket that connects two addresses.

    Both count: the system gives one port to several connections with other targets.
    """
    wanted = (_table_form(local), _table_form(remote))
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if (fields[LOCAL_FIELD], fields[REMOTE_FIELD]) != wanted:
            continue
        if fields[INODE_FIELD] != "0":
            return fields[INODE_FIELD]
    return None


def holds_inode(pid: int, inode: str) -> bool:
    """Tell whether a process has a socket open."""
    wanted = f"socket:[{inode}]"
    folder = f"/proc/{pid}/fd"
    try:
        numbers = os.listdir(folder)
    except OSError:
        # The process is gone.
        return False
    for number in reversed(numbers):
        try:
            if os.readlink(f"{folder}/{number}") == wanted:
                return True
        except OSError:
            # The descriptor was closed meanwhile.
            continue
    return False


class LinksByOwner:
    """Hold a link for each entry; `pids_by_name` tells which processes run."""

    def __init__(self, *, pids_by_name: Callable[[], dict[str, int]]) -> None:
        self.pids_by_name = pids_by_name
        self.links_by_name_: dict[str, LinkState] = {}
        self.nobody_ = LinkState()
        self.unknown_ = 0

    def link(self, name: str) -> LinkState:
        """Return the link of an entry."""
        return self.links_by_name_.setdefault(name, LinkState())

    async def link_of(self, near: Address, far: Address) -> LinkState:
        """Return the link of whoever connects from one address to another."""
        pids_by_name = self.pids_by_name()
        name = await asyncio.to_thread(self._owner, near, far, pids_by_name)
        if name is None:
            self.unknown_ += 1
            return self.nobody_
        return self.link(name)

    def _owner(
        self, near: Address, far: Address, pids_by_name: dict[str, int]
    ) -> str | None:
        inode = socket_inode(near, far)
        if inode is None:
            return None
        for name, pid in pids_by_name.items():
            if holds_inode(pid, inode):
                return name
        return None
