"""Tell the answer to a request from one that came on its connection before.

An endpoint may send an answer once more where the next one is due. The id of the
request tells them apart, unless the answer has none or the same request is sent twice
on one connection. Called by the connections to endpoints and by their pool. Answers to
calls for pieces have no id; `batching` tells them apart by the results that they name.
"""

from collections import deque
from enum import Enum

from leadford.common import RequestId

# Requests of one connection whose ids are kept. A repeated answer comes where the next
# one is due.
KEPT_IDS = 8


class AnswerMatch(Enum):
    """List whose answer has come.

    OWN: that of the request that was sent last. FOREIGN: that of an earlier request.
    UNKNOWN: it cannot be told.
    """

    OWN = "own"
    FOREIGN = "foreign"
    UNKNOWN = "unknown"


class AnswerMatcher:
    """Match the answers of one connection to its requests.

    `is_in_step_` is False once the next answer could be taken for that of another
    request; then the connection carries no further request.
    """

    def __init__(self) -> None:
        self.sent_ids_: deque[RequestId] = deque(maxlen=KEPT_IDS)
        self.is_in_step_ = True
        # Whether the last answer had no id, nor had its call.
        self.may_repeat_ = False

    def may_carry(self, request_id: RequestId | None) -> bool:
        """Return whether the answer to a request could be told from earlier ones."""
        if not self.is_in_step_:
            return False
        return request_id is None or request_id not in self.sent_ids_

    def record_sent(self, request_id: RequestId | None) -> None:
        """Record that a request is sent."""
        if request_id is not None:
            self.sent_ids_.append(request_id)

    def match(
        self,
        answered_id: RequestId | None,
        request_id: RequestId | None,
        *,
        is_refusal: bool,
    ) -> AnswerMatch:
        """Return whose answer has come after a request was sent.

        `is_refusal` is true if the answer says that its request did not run.
        """
        if request_id is None and not answered_id:
            self.may_repeat_ = True
            # Repeated, it would look like a refusal of any later request.
            self.is_in_step_ &= not is_refusal
            return AnswerMatch.OWN
        if not answered_id:
            return self._match_without_id()
        if answered_id == request_id:
            self.may_repeat_ = False
            return AnswerMatch.OWN
        self.is_in_step_ = False
        return AnswerMatch.FOREIGN

    def _match_without_id(self) -> AnswerMatch:
        """Return whose answer has come if it bears no id though its request did.

        The first on a connection is that of its request, because no earlier answer
        could be repeated as it. Its own repetition could not be told from the next one.
        """
        is_first = self.is_in_step_ and not self.may_repeat_
        self.is_in_step_ = False
        return AnswerMatch.OWN if is_first else AnswerMatch.UNKNOWN
