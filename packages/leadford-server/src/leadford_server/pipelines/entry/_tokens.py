"""Take the tokens of a request's attempts, and allow agents to send more.

Owns the answer as it is shown to readers. The first attempt whose tokens are new wins
the race against a hedge beside it; tokens are matched and ordered by the execution.
"""

from collections.abc import Callable

from leadford.pipelines.execution import StrayKind
from leadford.protocol import Credit, TokenPart, Tokens
from leadford_server.metrics import TOKENS_TOTAL
from leadford_server.pipelines.entry._answers import AnswerBuffer
from leadford_server.pipelines.entry._live_attempts import LiveAttempts

# Number of tokens that an agent may send before readers have read them.
CREDIT_TOKENS = 64


class TokenStream:
    """Hold the tokens of one request.

    `on_diverged` is called with the stage and number of an attempt whose text differs
    from what was shown.
    """

    def __init__(
        self, *, live: LiveAttempts, on_diverged: Callable[[str, int], None]
    ) -> None:
        self.live = live
        self.on_diverged = on_diverged
        self.answer_ = AnswerBuffer(
            texts=live.execution.delivered_, on_consumed=self._grant
        )
        self.granted_ = CREDIT_TOKENS
        self.first_token_at_: float | None = None
        self.first_at_by_number_: dict[int, float] = {}

    def take(self, message: Tokens) -> None:
        """Take tokens of an attempt."""
        for part in message.parts:
            accepted = self.live.execution.accept_tokens(part)
            added = accepted.value_or(None)
            if added is None:
                self.live.report_stray(accepted.failure(), part.stage, part.attempt)
                if accepted.failure() is StrayKind.DIVERGED:
                    self.on_diverged(part.stage, part.attempt)
                continue
            if part.sequence == 0:
                self.first_at_by_number_[part.attempt] = self.live.services.clock()
            if added and self.first_token_at_ is None:
                self.first_token_at_ = self.live.services.clock()
                self._end_race(part)
            TOKENS_TOTAL.inc(added)
            if added:
                self.answer_.wake_readers()
            else:
                self._grant_replayed(part)

    def _end_race(self, part: TokenPart) -> None:
        """Cancel the attempts that began to answer later than this one."""
        winner = self.live.links_by_number_[part.attempt].view.endpoint_id
        for attempt in list(self.live.execution.live_by_number_.values()):
            if attempt.number != part.attempt:
                self.live.lose_race(attempt)
        self.answer_.locator_ = f"{winner}/{part.attempt}"

    def _grant_replayed(self, part: TokenPart) -> None:
        """Allow as many tokens as were only compared with what is known."""
        peer = self.live.links_by_number_[part.attempt].peer
        if peer is not None:
            count = len(part.texts)
            peer.send(Credit(self.live.request_id, part.stage, part.attempt, count))

    def _grant(self, consumed: int) -> None:
        """Allow the agent more tokens as readers take them."""
        wanted = consumed + CREDIT_TOKENS
        if wanted - self.granted_ < CREDIT_TOKENS // 2:
            return
        more = wanted - self.granted_
        self.granted_ = wanted
        for attempt in self.live.execution.live_by_number_.values():
            peer = self.live.links_by_number_[attempt.number].peer
            if peer is not None:
                peer.send(
                    Credit(self.live.request_id, attempt.stage, attempt.number, more)
                )
