"""Keep tokens and ends of attempts, and feed them out under credit.

Owned by an agent, so that an entry which takes a request over can read on where the
lost one stopped. Ended attempts are kept for a time and within bounds, the oldest go
first; those that run are always kept. What is sent to whom is decided by the agent.
"""

from collections import OrderedDict

from leadford.protocol import Done

# Ended attempts kept at most, and bytes of their tokens.
RESULTS_KEPT = 4096
BYTES_KEPT = 64 * 1024 * 1024


class StreamCursor:
    """Hold how far one connection has been sent a stream."""

    def __init__(self, *, sequence: int, credit: int) -> None:
        self.sequence_ = sequence
        self.credit_ = credit
        self.done_sent_ = False


class KeptResult:
    """Hold the tokens and the end of one attempt."""

    def __init__(self, *, key: str, workspace: str, started_at: float) -> None:
        self.key = key
        self.workspace = workspace
        self.started_at = started_at
        self.texts_: list[str] = []
        self.done_: Done | None = None
        self.cursors_by_peer_: dict[str, StreamCursor] = {}
        self.bytes_ = 0
        self.model_version_ = ""

    def attach(self, peer_id: str, sequence: int, credit: int) -> None:
        """Start feeding a connection from a sequence on."""
        self.cursors_by_peer_[peer_id] = StreamCursor(sequence=sequence, credit=credit)

    def detach(self, peer_id: str) -> None:
        """Stop feeding a connection."""
        self.cursors_by_peer_.pop(peer_id, None)

    def add_credit(self, peer_id: str, tokens: int) -> None:
        """Allow a connection more tokens."""
        cursor = self.cursors_by_peer_.get(peer_id)
        if cursor is not None:
            cursor.credit_ += tokens

    def append(self, texts: list[str], model_version: str) -> None:
        """Add tokens from the endpoint."""
        self.model_version_ = model_version
        self.texts_.extend(texts)
        self.bytes_ += sum(len(text) for text in texts)

    def take(self, peer_id: str) -> tuple[int, list[str]]:
        """Return the sequence and the tokens that a connection may be sent now."""
        cursor = self.cursors_by_peer_[peer_id]
        start = cursor.sequence_
        end = min(len(self.texts_), start + cursor.credit_)
        if end <= start:
            return start, []
        cursor.sequence_ = end
        cursor.credit_ -= end - start
        return start, self.texts_[start:end]

    def take_done(self, peer_id: str) -> Done | None:
        """Return the end once, when every token before it was sent."""
        cursor = self.cursors_by_peer_[peer_id]
        if self.done_ is None or cursor.done_sent_:
            return None
        if cursor.sequence_ < len(self.texts_):
            return None
        cursor.done_sent_ = True
        return self.done_


class ResultStore:
    """Hold kept results within a retention and a bound on count and bytes.

    Units: retention_s is seconds after the end; bytes_max is bytes of tokens.
    """

    def __init__(
        self,
        *,
        retention_s: float,
        results_max: int = RESULTS_KEPT,
        bytes_max: int = BYTES_KEPT,
    ) -> None:
        self.retention_s = retention_s
        self.results_max = results_max
        self.bytes_max = bytes_max
        self.results_by_key_: OrderedDict[str, KeptResult] = OrderedDict()
        self.ended_keys_: OrderedDict[str, float] = OrderedDict()
        self.ended_bytes_ = 0

    def open(self, key: str, workspace: str, now: float) -> KeptResult | None:
        """Start keeping an attempt, or return None when it is known already."""
        if key in self.results_by_key_:
            return None
        kept = KeptResult(key=key, workspace=workspace, started_at=now)
        self.results_by_key_[key] = kept
        return kept

    def get(self, key: str) -> KeptResult | None:
        """Return a kept attempt."""
        return self.results_by_key_.get(key)

    def end(self, kept: KeptResult, done: Done, now: float) -> None:
        """Record the end of an attempt."""
        if kept.done_ is not None:
            raise AssertionError(f"attempt {kept.key} ended twice")
        kept.done_ = done
        kept.bytes_ += len(done.result)
        self.ended_keys_[kept.key] = now
        self.ended_bytes_ += kept.bytes_
        self.expire(now)

    def release(self, key: str) -> None:
        """Drop an ended attempt."""
        if key not in self.ended_keys_:
            return
        del self.ended_keys_[key]
        self.ended_bytes_ -= self.results_by_key_[key].bytes_
        del self.results_by_key_[key]

    def discard(self, key: str) -> None:
        """Drop an attempt that never began."""
        if key in self.ended_keys_:
            self.release(key)
            return
        self.results_by_key_.pop(key, None)

    def expire(self, now: float) -> None:
        """Drop ended attempts past the retention or over the bounds."""
        while self.ended_keys_:
            key, ended_at = next(iter(self.ended_keys_.items()))
            over = len(self.ended_keys_) > self.results_max
            over = over or self.ended_bytes_ > self.bytes_max
            if not over and now - ended_at < self.retention_s:
                return
            self.release(key)

    def detach_peer(self, peer_id: str) -> None:
        """Stop feeding a connection that is gone."""
        for kept in self.results_by_key_.values():
            kept.detach(peer_id)
