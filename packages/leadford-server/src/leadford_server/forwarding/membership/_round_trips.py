"""Measure round trips to other entries, which tell how full the link of this one is.

Pings of the websockets are answered by peers of every build. The rules are in
`leadford.forwarding.overload`. Owns the tasks that wait for answers.
"""

import asyncio
from collections.abc import Callable, Mapping
from itertools import count

from leadford.common import EntryId
from leadford_server.forwarding._state import ForwardState
from leadford_server.metrics import LINK_WAIT_SECONDS
from leadford_server.peers import PeerConnection

# Time between two trips, while packets do not wait and while they do.
CALM_INTERVAL_S = 0.25
BUSY_INTERVAL_S = 0.05
# Peers to which round trips are made, in turn.
PEER_COUNT = 3


class RoundTrips:
    """Make round trips to a few peers, those of this hall first.

    `is_busy` returns whether connections of callers are closed unread.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        peers_by_id: Mapping[EntryId, PeerConnection],
        is_busy: Callable[[], bool],
    ) -> None:
        self.state = state
        self.peers_by_id = peers_by_id
        self.is_busy = is_busy
        self.chosen_: dict[EntryId, PeerConnection] = {}
        self.tasks_: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Make round trips until cancelled."""
        waits = self.state.link_waits_
        for number in count():
            now = self.state.now()
            LINK_WAIT_SECONDS.set(waits.wait_s(now))
            is_busy = waits.is_slow(now) or self.is_busy()
            await asyncio.sleep(BUSY_INTERVAL_S if is_busy else CALM_INTERVAL_S)
            self._choose()
            if not self.chosen_:
                continue
            peer_id, peer = list(self.chosen_.items())[number % len(self.chosen_)]
            if waits.begin(peer_id, self.state.now()):
                self._spawn(peer_id, peer)

    def _choose(self) -> None:
        """Replace peers that are gone by others."""
        waits = self.state.link_waits_
        for peer_id, peer in list(self.chosen_.items()):
            if self.peers_by_id.get(peer_id) is not peer:
                del self.chosen_[peer_id]
                waits.forget(peer_id)
        others = [p for p in self.peers_by_id.items() if p[0] not in self.chosen_]
        others.sort(key=lambda item: (item[1].info.hall != self.state.hall, item[0]))
        for peer_id, peer in others[: PEER_COUNT - len(self.chosen_)]:
            self.chosen_[peer_id] = peer

    def _spawn(self, peer_id: EntryId, peer: PeerConnection) -> None:
        task = asyncio.create_task(self._make(peer_id, peer))
        self.tasks_.add(task)
        task.add_done_callback(self.tasks_.discard)

    async def _make(self, peer_id: EntryId, peer: PeerConnection) -> None:
        turns = self.state.loop_turns_
        began = turns.mark(self.state.now())
        if not await peer.make_round_trip():
            return
        now = self.state.now()
        if self.chosen_.get(peer_id) is peer:
            elapsed_s = turns.min_elapsed_s(began, now)
            self.state.link_waits_.end(peer_id, elapsed_s)
