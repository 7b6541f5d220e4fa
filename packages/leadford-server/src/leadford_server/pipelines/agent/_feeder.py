"""Feed kept tokens and ends to the entries that wait for them.

Called when tokens or ends came, and when an entry allows more. The first token of a
stream and each end leave at once; other tokens are gathered for a tick, so that one
message serves many streams.
"""

import asyncio

from leadford.pipelines.results import KeptResult, ResultStore
from leadford.protocol import Attach, Credit, Done, NotHeld, TokenPart, Tokens
from leadford_server.peers import PeerConnection
from leadford_server.pipelines.agent._adapters import attempt_key

# Seconds for which tokens are gathered.
TICK_S = 0.02


class TokenFeeder:
    """Gather new tokens over a tick and send each entry one message."""

    def __init__(
        self, *, results: ResultStore, peers_by_id: dict[str, PeerConnection]
    ) -> None:
        self.results = results
        self.peers_by_id = peers_by_id
        self.dirty_keys_: dict[str, None] = {}
        self.tick_: asyncio.TimerHandle | None = None

    def on_tokens(self, kept: KeptResult, *, first: bool) -> None:
        """Send new tokens: the first of a stream at once, the others with the tick."""
        self.dirty_keys_[kept.key] = None
        if first:
            self.flush()
            return
        self._schedule()

    def on_end(self, kept: KeptResult) -> None:
        """Send an end at once."""
        self.dirty_keys_[kept.key] = None
        self.flush()

    def credit(self, peer: PeerConnection, message: Credit) -> None:
        """Let an entry have more tokens of a stream."""
        key = attempt_key(message.request_id, message.stage, message.attempt)
        kept = self.results.get(key)
        if kept is None:
            return
        kept.add_credit(peer.info.peer_id, message.tokens)
        self.dirty_keys_[key] = None
        self._schedule()

    def attach(self, peer: PeerConnection, message: Attach) -> None:
        """Feed an entry that takes an attempt over, or say that it is not held."""
        key = attempt_key(message.request_id, message.stage, message.attempt)
        kept = self.results.get(key)
        held = kept is not None and kept.workspace == message.workspace
        if not held or message.from_sequence > len(kept.texts_):
            peer.send(NotHeld(message.request_id, message.stage, message.attempt))
            return
        kept.attach(peer.info.peer_id, message.from_sequence, message.credit)
        self.dirty_keys_[key] = None
        self.flush()

    @property
    def is_idle(self) -> bool:
        """Tell whether every attached entry has been sent everything."""
        for kept in self.results.results_by_key_.values():
            for cursor in kept.cursors_by_peer_.values():
                if not cursor.done_sent_:
                    return False
        return True

    def _schedule(self) -> None:
        if self.tick_ is None:
            self.tick_ = asyncio.get_running_loop().call_later(TICK_S, self.flush)

    def flush(self) -> None:
        """Send what waits."""
        if self.tick_ is not None:
            self.tick_.cancel()
            self.tick_ = None
        keys = list(self.dirty_keys_)
        self.dirty_keys_.clear()
        parts_by_peer: dict[str, list[TokenPart]] = {}
        ends_by_peer: dict[str, list[Done]] = {}
        for key in keys:
            kept = self.results.get(key)
            if kept is not None:
                self._gather(kept, parts_by_peer, ends_by_peer)
        for peer_id, parts in parts_by_peer.items():
            self.peers_by_id[peer_id].send(Tokens(parts))
        for peer_id, ends in ends_by_peer.items():
            for done in ends:
                self.peers_by_id[peer_id].send(done)

    def _gather(
        self,
        kept: KeptResult,
        parts_by_peer: dict[str, list[TokenPart]],
        ends_by_peer: dict[str, list[Done]],
    ) -> None:
        request_id, stage, attempt = kept.key.rsplit("/", 2)
        version = kept.model_version_
        for peer_id in kept.cursors_by_peer_:
            if peer_id not in self.peers_by_id:
                continue
            sequence, texts = kept.take(peer_id)
            if texts:
                number = int(attempt)
                part = TokenPart(request_id, stage, number, sequence, texts, version)
                parts_by_peer.setdefault(peer_id, []).append(part)
            done = kept.take_done(peer_id)
            if done is not None:
                ends_by_peer.setdefault(peer_id, []).append(done)
