"""Draw which streams their callers break off, and how they resume them.

A caller names the request that began its stream and the last event that it has. It
comes back until it has all events, or until its time or its tries are over.
"""

from collections.abc import Mapping
from random import Random

import msgspec

from leadford.common import stable_hash
from leadford_standins.soak._events import (
    EVENTS_PER_STREAM,
    RESUMABLE_ROUTE,
    last_event_of,
)
from leadford_standins.soak._ledger import Outcome, Sent

# How often a caller comes back, and the time left below which it does not.
MAX_RESUMES = 3
MIN_LEFT_MS = 300.0
# Time after which a caller breaks its stream off, and until it comes back.
BREAK_OFF_S = (0.1, 0.45)
RESUME_DELAY_S = (0.0, 0.3)
REFUSED_STATUS = 503
# One caller in this many does not name its stream, where some do not.
UNNAMED_EACH = 4


class StreamResumer:
    """Make the requests that resume streams; none if `part` is 0.

    With `some_unnamed`, a part of the callers does not name the request that began its
    stream, and repeats that request otherwise.
    """

    def __init__(
        self,
        *,
        part: float,
        random: Random,
        sent_by_id: Mapping[str, Sent],
        some_unnamed: bool = False,
    ) -> None:
        self.some_unnamed = some_unnamed
        self.part = part
        self.random = random
        self.sent_by_id = sent_by_id
        self.count_by_id_: dict[str, int] = {}

    def breaks_off(self, sent: Sent) -> bool:
        """Return whether the caller breaks the stream off."""
        if self.part <= 0.0 or sent.route != RESUMABLE_ROUTE:
            return False
        return self.random.random() < self.part

    def next_request(self, sent: Sent, request_id: str) -> Sent | None:
        """Return the request by which a caller resumes its stream; None if it ends."""
        if self.part <= 0.0 or sent.route != RESUMABLE_ROUTE:
            return None
        is_refused = sent.status == REFUSED_STATUS and bool(sent.resumes)
        if sent.outcome not in (Outcome.CUT, Outcome.LEFT) and not is_refused:
            return None
        last = last_event_of(sent)
        if not 0 < last < EVENTS_PER_STREAM:
            return None
        first = self.sent_by_id[sent.resumes or sent.request_id]
        count = self.count_by_id_.get(first.request_id, 0) + 1
        waited_ms = (sent.ended_at - first.sent_at) * 1_000.0
        left_ms = float(first.asked["X-Deadline-Ms"]) - waited_ms
        if count > MAX_RESUMES or left_ms < MIN_LEFT_MS:
            return None
        self.count_by_id_[first.request_id] = count
        headers = {
            **first.asked,
            "X-Attempt-Id": request_id,
            "X-Piece-Key": f"pk-{request_id}",
            "X-Deadline-Ms": f"{left_ms:.0f}",
            "Resumes": first.request_id,
            "Last-Event-Id": str(last),
        }
        if self.some_unnamed and stable_hash(first.request_id) % UNNAMED_EACH == 0:
            del headers["Resumes"]
            headers["X-Piece-Key"] = first.asked["X-Piece-Key"]
        return msgspec.structs.replace(
            first,
            request_id=request_id,
            asked=headers,
            resumes=first.request_id,
            after_event=last,
            outcome=Outcome.OPEN,
            status=0,
            headers={},
            answer=b"",
            ended_at=0.0,
            detail="",
        )
