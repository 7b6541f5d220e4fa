"""Ask every entry, and every agent it is connected to, for their rows.

Used for queries of operators. How many processes were asked, and how
many answered, goes with the rows.
"""

import asyncio
from collections.abc import Iterable
from random import Random

import msgspec

from leadford.common import EntryId
from leadford.protocol import Message, Query, QueryAnswer
from leadford_server.peers import PeerConnection
from leadford_server.pipelines.entry._directory import EndpointDirectory
from leadford_server.pipelines.entry._entries import EntryPeers
from leadford_server.pipelines.entry._merging import decode_rows, encode_rows
from leadford_server.pipelines.entry._tables import LocalTables

# Timeout of other entries. An entry waits less long for its agents, so that its own
# answer is in time.
ANSWER_TIMEOUT_S = 1.5
AGENT_ANSWER_TIMEOUT_S = 0.8
# Timeout for connecting to entries.
CONNECT_TIMEOUT_S = 1.0
# Tables of which only agents hold rows.
AGENT_TABLES = ("queue",)


class FleetRows(msgspec.Struct):
    """Hold the rows of several processes, and how many of them answered."""

    answers: list[list[list]]
    asked: int
    answered: int


class FanOut:
    """Send queries to peers and gather their answers within a bound of time."""

    def __init__(
        self,
        *,
        entry_id: EntryId,
        entries: EntryPeers,
        directory: EndpointDirectory,
        tables: LocalTables,
        random: Random,
    ) -> None:
        self.entry_id = entry_id
        self.entries = entries
        self.directory = directory
        self.tables = tables
        self.random = random
        self.futures_by_id_: dict[str, asyncio.Future[list[list]]] = {}
        self.tasks_: set[asyncio.Task[None]] = set()

    async def ask(self, table: str, argument: str = "") -> FleetRows:
        """Return the rows of the whole fleet, as far as it answers."""
        others = [EntryId(i) for i in self.entries.ids_ if i != self.entry_id]
        peers = await self.entries.connect(
            others, CONNECT_TIMEOUT_S, wait_for_down=True
        )
        own = self._own_rows(table, argument)
        theirs = self._gather(peers, table, argument, ANSWER_TIMEOUT_S)
        own_rows, answers = await asyncio.gather(own, theirs)
        answers.append(own_rows)
        return FleetRows(answers, len(others) + 1, len(answers))

    async def _own_rows(self, table: str, argument: str) -> list[list]:
        rows = self.tables.rows(table, argument)
        if table in AGENT_TABLES:
            links = self.directory.links_by_id_.values()
            agents = [link.peer for link in links if link.peer is not None]
            answers = await self._gather(
                agents, table, argument, AGENT_ANSWER_TIMEOUT_S
            )
            rows = [*rows, *(row for answer in answers for row in answer)]
        return rows

    async def _gather(
        self,
        peers: Iterable[PeerConnection],
        table: str,
        argument: str,
        within_s: float,
    ) -> list[list[list]]:
        futures: dict[str, asyncio.Future[list[list]]] = {}
        for peer in peers:
            query_id = f"{self.random.getrandbits(64):x}"
            futures[query_id] = asyncio.get_running_loop().create_future()
            self.futures_by_id_[query_id] = futures[query_id]
            peer.send(Query(query_id, table, argument))
        if futures:
            await asyncio.wait(futures.values(), timeout=within_s)
        for query_id in futures:
            del self.futures_by_id_[query_id]
        return [future.result() for future in futures.values() if future.done()]

    def peer_message(self, peer: PeerConnection, message: Message) -> bool:
        """Take a message about queries; return whether it was one."""
        if isinstance(message, QueryAnswer):
            future = self.futures_by_id_.get(message.query_id)
            if future is not None and not future.done():
                future.set_result(decode_rows(message.rows))
            return True
        if isinstance(message, Query):
            task = asyncio.create_task(self._answer(peer, message))
            self.tasks_.add(task)
            task.add_done_callback(self.tasks_.discard)
            return True
        return False

    async def _answer(self, peer: PeerConnection, query: Query) -> None:
        rows = await self._own_rows(query.table, query.argument)
        peer.send(QueryAnswer(query.query_id, encode_rows(rows)))
