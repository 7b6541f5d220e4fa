"""Account for the bytes held for callers and endpoints, and bound them.

Owns the memory account of the process. `leadford.forwarding.memory` decides; this
module passes on what the holders report, resumes readers that wait for room, cuts off
callers without progress, logs when the process starts and stops refusing requests, and
exports the metrics.
"""

from collections.abc import Callable

from returns.result import Failure, Result

from leadford.events import Event
from leadford.forwarding.memory import (
    BytesHolder,
    HeldCause,
    MemoryAccount,
    MemoryBudget,
    MemoryRefusal,
)
from leadford_server.logs import EventLog
from leadford_server.metrics import HELD_BYTES, MEMORY_REFUSALS_TOTAL

# The most that a reader reads at once.
MAX_READ_BYTES = 64 * 1024


class HeldBytes:
    """Report the bytes of one holder to the account of the process.

    `cut_off` closes the connection of the caller that the holder waits for; it is None
    if the holder waits for no caller. `refresh` reports the bytes held now, where that
    changes without a report.
    """

    def __init__(
        self,
        *,
        memory: "HeldMemory",
        cause: HeldCause,
        cut_off: Callable[[], None] | None = None,
        refresh: Callable[[], None] = lambda: None,
    ) -> None:
        self.memory = memory
        self.cut_off = cut_off
        self.refresh = refresh
        self.holder = BytesHolder(
            cause=cause, waits_for_caller=cut_off is not None, now=memory.now()
        )
        # Units: seconds of the monotonic clock.
        self.opened_at = memory.now()
        self.is_released_ = False

    @property
    def count(self) -> int:
        """Return the bytes held now."""
        return self.holder.held_bytes_

    def set(self, count: int) -> None:
        """Record the bytes held now; ignored after the release."""
        if self.is_released_ or count == self.holder.held_bytes_:
            return
        self.memory.set_held(self, count)

    def add(self, count: int) -> None:
        """Record that more bytes are held."""
        self.set(self.holder.held_bytes_ + count)

    def record_progress(self) -> None:
        """Record that the caller sent or read something."""
        self.holder.progress_at_ = self.memory.now()

    def end_wait_for_caller(self) -> None:
        """Record that the holder no longer waits for its caller."""
        self.holder.waits_for_caller = False

    def release(self) -> None:
        """Record that nothing is held any more."""
        self.set(0)
        self.is_released_ = True

    def may_read(self, max_bytes: int | None = None) -> bool:
        """Return whether the holder may read more from its connection."""
        return self.memory.account_.may_read(self.holder, max_bytes)


class HeldMemory:
    """Hold the memory account of one process, and the readers that wait for room."""

    def __init__(
        self, *, limit_bytes: int | None, now: Callable[[], float], log: EventLog
    ) -> None:
        self.now = now
        self.log = log
        self.account_ = MemoryAccount(budget=MemoryBudget.from_limit(limit_bytes))
        self.held_by_holder_: dict[BytesHolder, HeldBytes] = {}
        self.is_logged_refusing_ = False
        # The `wake` of each reader that waits, in the order in which they began to.
        self.waiting_: dict[Callable[[], bool], None] = {}

    @property
    def is_limited(self) -> bool:
        """Return whether the settings limit the memory."""
        return self.account_.budget is not None

    def set_limit(self, limit_bytes: int | None) -> None:
        """Apply the limit of the settings that were read again."""
        self.account_.budget = MemoryBudget.from_limit(limit_bytes)
        self._wake()

    def wait_for_room(self, wake: Callable[[], bool]) -> None:
        """Call `wake` each time there may be room, until `end_wait` removes it.

        `wake` returns whether its reader reads on.
        """
        self.waiting_[wake] = None

    def end_wait(self, wake: Callable[[], bool]) -> None:
        """Remove a reader that no longer waits."""
        self.waiting_.pop(wake, None)

    def _wake(self) -> None:
        """Resume as many readers as there is room for what each reads next."""
        if not self.waiting_:
            return
        room_bytes = self.account_.room_bytes
        for wake in list(self.waiting_):
            if room_bytes <= 0:
                return
            if wake():
                room_bytes -= MAX_READ_BYTES

    def hold(
        self,
        cause: HeldCause,
        cut_off: Callable[[], None] | None = None,
        refresh: Callable[[], None] = lambda: None,
    ) -> HeldBytes:
        """Return a new holder, which holds nothing yet."""
        return HeldBytes(memory=self, cause=cause, cut_off=cut_off, refresh=refresh)

    def set_held(self, held: HeldBytes, count: int) -> None:
        """Record what a holder holds, and wake readers when something was released."""
        account = self.account_
        is_release = count < held.count
        account.set_held(held.holder, count)
        if count > 0 and held.cut_off is not None:
            self.held_by_holder_[held.holder] = held
        else:
            self.held_by_holder_.pop(held.holder, None)
        if is_release:
            self._log_change()
            self._wake()

    def admit(self, announced_bytes: int) -> Result[None, MemoryRefusal]:
        """Return whether a request may be read; count and log refusals.

        Callers without progress are cut off before a request is refused.
        """
        result = self.account_.admit(announced_bytes)
        if isinstance(result, Failure) and self.cut_off_stalled(announced_bytes):
            result = self.account_.admit(announced_bytes)
        if isinstance(result, Failure):
            MEMORY_REFUSALS_TOTAL.inc()
            self._log_change()
        return result

    def cut_off_stalled(self, needed_bytes: int = 0) -> int:
        """Cut off callers without progress if the memory is needed; return how many."""
        if not self.account_.stalled_holders(self.now(), needed_bytes):
            return 0
        for held in list(self.held_by_holder_.values()):
            held.refresh()
        stalled = self.account_.stalled_holders(self.now(), needed_bytes)
        for holder in stalled:
            held = self.held_by_holder_.get(holder)
            if held is None:
                # It was released when another holder of its connection was cut off.
                continue
            held.cut_off()
            held.release()
        return len(stalled)

    def export(self) -> None:
        """Write what is held to the metrics."""
        for cause in HeldCause:
            count = self.account_.bytes_by_cause_[cause]
            HELD_BYTES.labels(cause=cause.value).set(count)

    def _log_change(self) -> None:
        """Log when the process starts or stops refusing requests."""
        account = self.account_
        if account.is_refusing_ == self.is_logged_refusing_:
            return
        self.is_logged_refusing_ = account.is_refusing_
        budget = account.budget
        self.log.report(
            Event.MEMORY_SHORT,
            is_refusing=account.is_refusing_,
            held_bytes=account.held_bytes_,
            allowed_bytes=budget.allowed_bytes if budget is not None else 0,
        )
