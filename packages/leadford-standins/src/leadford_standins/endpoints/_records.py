"""Record every execution that a stand-in performed.

Read by tests and replays, which hold against it what callers were told.
"""

import msgspec

# Executions that are recorded; further ones are not.
RECORDS_MAX = 200_000


class ExecutionRecord(msgspec.Struct, frozen=True):
    """Hold one execution: for whom, which attempt, and whether it finished.

    Units: at_s is seconds of Unix time.
    """

    request_id: str
    stage: str
    attempt: int
    at_s: float
    finished: bool
    service_ms: float


class ExecutionTable:
    """Hold the executions of one stand-in, bounded."""

    def __init__(self) -> None:
        self.records_: list[ExecutionRecord] = []
        self.busy_ms_ = 0.0
        self.prefill_tokens_ = 0
        self.cached_tokens_ = 0

    def add(self, record: ExecutionRecord) -> None:
        """Add one execution."""
        if len(self.records_) < RECORDS_MAX:
            self.records_.append(record)

    def to_json(self) -> bytes:
        """Return the records and sums as a page."""
        return msgspec.json.encode(
            {
                "records": self.records_,
                "busy_ms": self.busy_ms_,
                "prefill_tokens": self.prefill_tokens_,
                "cached_tokens": self.cached_tokens_,
            }
        )
