"""Hold the origins of streams until their callers stop waiting.

The entry that passes on the first event of a stream records its origin, and so do the
replicas that it tells. A caller that resumes the stream names the request that brought
the first event. If it does not, the content of the request identifies the stream, as
far as no other stream of the same content began at another version.
"""

import heapq

from leadford.common import RequestId
from leadford.forwarding.streams._origin import (
    StreamContent,
    StreamKey,
    StreamOrigin,
)

# The oldest origins are dropped beyond this number.
MAX_ORIGINS = 50_000
# Callers that wait for longer are not told apart from those that wait this long.
MAX_ORIGIN_AGE_S = 600.0


class OriginLedger:
    """Find the origin of a stream by the request that began it.

    Units: times in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self.origins_by_id_: dict[RequestId, StreamOrigin] = {}
        self.until_by_id_: dict[RequestId, float] = {}
        self.content_by_id_: dict[RequestId, StreamContent] = {}
        self.ids_by_content_: dict[StreamContent, set[RequestId]] = {}
        self.ids_by_end_: list[tuple[float, RequestId]] = []
        # Since when no stream that this entry should know was missed, None if unknown.
        self.complete_since_: float | None = None

    def __len__(self) -> int:
        return len(self.origins_by_id_)

    def record(
        self, key: StreamKey, origin: StreamOrigin, wait_s: float, now: float
    ) -> None:
        """Record an origin for as long as its caller waits.

        The key names the request. The first origin that is recorded for it stays.
        """
        request_id = key.request_id
        if not wait_s > 0.0:
            # Also where a peer sent no number.
            return
        wait_s = min(wait_s, MAX_ORIGIN_AGE_S)
        until = now + wait_s
        if request_id not in self.origins_by_id_:
            self.origins_by_id_[request_id] = origin
            self.content_by_id_[request_id] = key.content
            self.ids_by_content_.setdefault(key.content, set()).add(request_id)
        if until > self.until_by_id_.get(request_id, now):
            self.until_by_id_[request_id] = until
            heapq.heappush(self.ids_by_end_, (until, request_id))
        self._drop_beyond_limit(now)

    def record_gap(self, now: float) -> None:
        """Record that streams that began before now may be missing."""
        self.complete_since_ = now

    def complete_for_s(self, now: float) -> float:
        """Return for how many seconds no stream was missed."""
        return 0.0 if self.complete_since_ is None else now - self.complete_since_

    def find(self, request_id: RequestId) -> StreamOrigin | None:
        """Return the origin of the stream that a request began, None if not known."""
        return self.origins_by_id_.get(request_id)

    def matching_ids(self, key: StreamKey) -> list[RequestId]:
        """Return the requests that may have begun a stream: the named one, or all."""
        if key.request_id is None:
            return sorted(self.ids_by_content_.get(key.content, ()))
        return [key.request_id] if key.request_id in self.origins_by_id_ else []

    def remaining_s(self, request_id: RequestId, now: float) -> float:
        """Return for how many more seconds an origin is held."""
        return max(0.0, self.until_by_id_.get(request_id, now) - now)

    def drop_ended(self, now: float) -> list[RequestId]:
        """Forget the origins whose callers no longer wait, and return their ids."""
        ended = []
        while self.ids_by_end_ and self.ids_by_end_[0][0] <= now:
            _, request_id = heapq.heappop(self.ids_by_end_)
            if self.until_by_id_.get(request_id, now) > now:
                # Recorded again since, for longer.
                continue
            self._forget(request_id)
            ended.append(request_id)
        return ended

    def _drop_beyond_limit(self, now: float) -> None:
        while len(self.origins_by_id_) > MAX_ORIGINS:
            self._forget(next(iter(self.origins_by_id_)))
            self.record_gap(now)

    def _forget(self, request_id: RequestId) -> None:
        if self.origins_by_id_.pop(request_id, None) is None:
            return
        del self.until_by_id_[request_id]
        content = self.content_by_id_.pop(request_id)
        self.ids_by_content_[content].discard(request_id)
        if not self.ids_by_content_[content]:
            del self.ids_by_content_[content]
