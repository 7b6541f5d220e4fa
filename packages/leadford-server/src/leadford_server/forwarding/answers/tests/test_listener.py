"""Connections that wait as an entry refuses new ones are read if they cost nothing."""

import asyncio
import socket

import pytest

from leadford.common import EntryId
from leadford.forwarding.overload import ConnectionAdmission, LinkWaits, LoopTurns
from leadford_server.forwarding.answers._listener import CallerListener

WAITING = 6
SLOW_TRIP_S = 0.2
LATE_TURN_S = 0.1


class Reports:
    """Count the pauses."""

    def __init__(self):
        self.pauses_ = 0

    def paused(self, pause_s, shed_count):
        self.pauses_ += 1


def full_link():
    """Return a link at which packets to all peers wait."""
    link = LinkWaits()
    for elapsed_s in (0.001, *[SLOW_TRIP_S] * 5):
        for peer in ("a", "b"):
            link.end(EntryId(peer), elapsed_s)
    return link


def accepted_of(turns, link):
    """Return how many of the waiting connections are read, and how many pauses began.

    Further connections are refused then.
    """

    async def main():
        now = asyncio.get_running_loop().time()
        admission = ConnectionAdmission(turns=turns, link=link)
        admission.update(now)
        accepted = []
        reports = Reports()
        listener = CallerListener(
            host="127.0.0.1",
            port=0,
            admission=admission,
            reports=reports,
            on_accepted=lambda connection, address: accepted.append(connection),
        )
        listener.start()
        address = listener.sockets_[0].getsockname()
        waiting = [socket.create_connection(address) for _ in range(WAITING)]
        await asyncio.sleep(0.05)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        listener.stop()
        for sock in [*waiting, *accepted]:
            sock.close()
        return len(accepted), reports.pauses_

    return asyncio.run(main())


def test_connections_that_wait_are_read_as_a_full_link_lets_new_ones_be_refused():
    # What they bring has passed the link; their callers got neither answer nor refusal.
    assert accepted_of(LoopTurns(), full_link()) == (WAITING, 1)


def test_connections_that_wait_are_closed_unread_while_the_loop_is_late():
    turns = LoopTurns()
    for _ in range(3):
        turns.record(LATE_TURN_S, 0.0)
    accepted, pauses = accepted_of(turns, LinkWaits())
    assert accepted < WAITING and pauses == 1
