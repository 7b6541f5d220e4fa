"""Send stored tokens and ends of attempts to the entries attached to them.

Called when tokens or ends arrive, and when an entry grants more credit. The first token
of a stream and each end are sent at once. Other tokens are batched over an interval, so
that one message serves many streams.
"""

import asyncio

from leadford.pipelines.results import AttemptResult, ResultStore
from leadford.protocol import Attach, Credit, Done, NotHeld, TokenPart, Tokens
from leadford_server.peers import PeerConnection
from leadford_server.pipelines.agent.adapters import attempt_key

# Time over which tokens are batched.
FLUSH_INTERVAL_S = 0.02


class TokenFeeder:
    """Batch new tokens over an interval and send each entry one message."""

    def __init__(
        self, *, results: ResultStore, peers_by_id: dict[str, PeerConnection]
    ) -> None:
        self.results = results
        self.peers_by_id = peers_by_id
        self.dirty_keys_: dict[str, None] = {}
        self.flush_timer_: asyncio.TimerHandle | None = None

    def on_tokens(self, kept: AttemptResult, *, first: bool) -> None:
        """Send the first tokens of a stream at once, others with the next batch."""
        self.dirty_keys_[kept.key] = None
        if first:
            self.flush()
            return
        self._schedule()

    def on_end(self, kept: AttemptResult) -> None:
        """Send the end of an attempt at once."""
        self.dirty_keys_[kept.key] = None
        self.flush()

    def credit(self, peer: PeerConnection, message: Credit) -> None:
        """Grant an entry more tokens of a stream."""
        key = attempt_key(message.request_id, message.stage, message.attempt)
        kept = self.results.get(key)
        if kept is None:
            return
        kept.add_credit(peer.info.peer_id, message.tokens)
        self.dirty_keys_[key] = None
        self._schedule()

    def attach(self, peer: PeerConnection, message: Attach) -> None:
        """Attach an entry that takes over an attempt, or reply that it is not held."""
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
        """Return whether the end of each attempt was sent to all attached entries."""
        for kept in self.results.results_by_key_.values():
            for cursor in kept.cursors_by_peer_.values():
                if not cursor.done_sent_:
                    return False
        return True

    def _schedule(self) -> None:
        if self.flush_timer_ is None:
            self.flush_timer_ = asyncio.get_running_loop().call_later(
                FLUSH_INTERVAL_S, self.flush
            )

    def flush(self) -> None:
        """Send all batched tokens and ends."""
        if self.flush_timer_ is not None:
            self.flush_timer_.cancel()
            self.flush_timer_ = None
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
        kept: AttemptResult,
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
