"""Keep the tokens and final messages of attempts, and send them within a credit.

Owned by an agent. An entry that takes over a request can continue the stream where the
lost entry stopped. Ended attempts are kept for a limited time, count and size, and the
oldest are dropped first; running attempts are always kept. The agent decides what is
sent to which connection.
"""

from collections import OrderedDict

from leadford.protocol import Done

# Default limits on the number of ended attempts and on the size of their results.
RESULTS_MAX = 4096
BYTES_MAX = 64 * 1024 * 1024


class StreamCursor:
    """Track which part of a stream was sent to one connection."""

    def __init__(self, *, sequence: int, credit: int) -> None:
        self.sequence_ = sequence
        self.credit_ = credit
        self.done_sent_ = False


class AttemptResult:
    """Hold the tokens and the final message of one attempt."""

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
        """Start sending to a connection, beginning at a sequence number."""
        self.cursors_by_peer_[peer_id] = StreamCursor(sequence=sequence, credit=credit)

    def detach(self, peer_id: str) -> None:
        """Stop sending to a connection."""
        self.cursors_by_peer_.pop(peer_id, None)

    def add_credit(self, peer_id: str, tokens: int) -> None:
        """Increase the number of tokens that may be sent to a connection."""
        cursor = self.cursors_by_peer_.get(peer_id)
        if cursor is not None:
            cursor.credit_ += tokens

    def append(self, texts: list[str], model_version: str) -> None:
        """Append tokens from the endpoint."""
        self.model_version_ = model_version
        self.texts_.extend(texts)
        self.bytes_ += sum(len(text) for text in texts)

    def take(self, peer_id: str) -> tuple[int, list[str]]:
        """Return the first sequence and the tokens to send to a connection now."""
        cursor = self.cursors_by_peer_[peer_id]
        start = cursor.sequence_
        end = min(len(self.texts_), start + cursor.credit_)
        if end <= start:
            return start, []
        cursor.sequence_ = end
        cursor.credit_ -= end - start
        return start, self.texts_[start:end]

    def take_done(self, peer_id: str) -> Done | None:
        """Return the final message once, after all tokens before it were sent."""
        cursor = self.cursors_by_peer_[peer_id]
        if self.done_ is None or cursor.done_sent_:
            return None
        if cursor.sequence_ < len(self.texts_):
            return None
        cursor.done_sent_ = True
        return self.done_


class ResultStore:
    """Keep results for a retention time and within limits on count and bytes.

    Units: retention_s is seconds after the end; bytes_max is bytes of tokens.
    """

    def __init__(
        self,
        *,
        retention_s: float,
        results_max: int = RESULTS_MAX,
        bytes_max: int = BYTES_MAX,
    ) -> None:
        self.retention_s = retention_s
        self.results_max = results_max
        self.bytes_max = bytes_max
        self.results_by_key_: OrderedDict[str, AttemptResult] = OrderedDict()
        self.ended_keys_: OrderedDict[str, float] = OrderedDict()
        self.ended_bytes_ = 0

    def open(self, key: str, workspace: str, now: float) -> AttemptResult | None:
        """Start keeping an attempt; return None if it is already known."""
        if key in self.results_by_key_:
            return None
        kept = AttemptResult(key=key, workspace=workspace, started_at=now)
        self.results_by_key_[key] = kept
        return kept

    def get(self, key: str) -> AttemptResult | None:
        """Return a kept attempt, or None if it is unknown."""
        return self.results_by_key_.get(key)

    def end(self, kept: AttemptResult, done: Done, now: float) -> None:
        """Record the final message of an attempt."""
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
        """Drop the ended attempts that exceed the retention or the limits."""
        while self.ended_keys_:
            key, ended_at = next(iter(self.ended_keys_.items()))
            is_over_bounds = len(self.ended_keys_) > self.results_max
            is_over_bounds = is_over_bounds or self.ended_bytes_ > self.bytes_max
            if not is_over_bounds and now - ended_at < self.retention_s:
                return
            self.release(key)

    def detach_peer(self, peer_id: str) -> None:
        """Stop sending to a closed connection."""
        for kept in self.results_by_key_.values():
            kept.detach(peer_id)
