"""Record which prompt parts were being served when endpoints crashed.

A part of a prompt may crash each endpoint that answers it, in requests that differ in
everything else. `_ledger` cannot find such a cause: each of these requests has another
digest. Here a crash keeps every run that it ended, with the parts of its prompt except
the last one, which belongs to a single request or session.

A complete answer retracts the cases against the parts of its prompt up to the moment
at which it began. Nothing else does: an endpoint that is alive again says nothing about
the part, and a request without the part says nothing either. `_part_blame` decides what
follows.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from leadford.quarantine._crash import Crash, LostRun, PartId, PromptKeys
from leadford.quarantine._ledger import CaseId

# Connections that end within this time at one endpoint belong to one crash; an endpoint
# takes longer to come back.
SAME_CRASH_S = 1.0
# Endpoints whose connections end within this time are one crash: a network fault cuts
# off several at once.
SIMULTANEOUS_S = 0.1
# Parts of one prompt that are recorded; a prompt may have any number.
MAX_PARTS_PER_RUN = 64
# Ids of parts beyond this length are not recorded.
MAX_PART_ID_CHARS = 64
# Pairs of a part and a crash; one takes about 200 bytes.
MAX_PART_CASES = 20_000
MAX_CRASHES = 500
MAX_KNOWN_CASE_IDS = 20_000
# Seconds after which a crash is removed.
CRASH_RETENTION_S = 3_600.0


def blamable_parts(part_ids: Iterable[str]) -> tuple[PartId, ...]:
    """Return the parts of a prompt that can be blamed: all but the last one."""
    ids = list(part_ids)[:-1]
    short = [PartId(name) for name in ids if len(name) <= MAX_PART_ID_CHARS]
    return tuple(dict.fromkeys(short[:MAX_PARTS_PER_RUN]))


class PartCases:
    """Hold the crashes of which prompt parts have not been cleared.

    `version_` changes whenever the cases do.
    """

    def __init__(self) -> None:
        self.crashes_: list[Crash] = []
        self.crashes_by_part_: dict[PartId, list[Crash]] = {}
        self.proven_ids_: set[PartId] = set()
        self.case_ids_: OrderedDict[CaseId, None] = OrderedDict()
        self.case_count_ = 0
        self.version_ = 0

    def record(self, run: LostRun, now: float) -> bool:
        """Record a run that ended with its endpoint; return whether it is new.

        Units: now in seconds.
        """
        if run.case_id in self.case_ids_ or not run.keys.part_ids:
            return False
        self.case_ids_[run.case_id] = None
        while len(self.case_ids_) > MAX_KNOWN_CASE_IDS:
            self.case_ids_.popitem(last=False)
        crash = self._crash_of(run, now - run.age_s)
        crash.add(run)
        self.proven_ids_.update(run.proven_ids)
        for part_id in run.keys.part_ids:
            self._add_case(part_id, crash)
        self._expire(now)
        self.version_ += 1
        return True

    def clear(self, part_ids: Iterable[PartId], begun_at: float) -> list[PartId]:
        """Retract the cases against parts that a complete answer clears.

        Returns the parts that had such cases. Only crashes before the answer began
        count, because the part may have become harmful later.

        Units: begun_at, when the answer began, in seconds.
        """
        cleared = []
        for part_id in part_ids:
            crashes = self.crashes_by_part_.get(part_id, ())
            earlier = [crash for crash in crashes if crash.at <= begun_at]
            for crash in earlier:
                self._retract(part_id, crash)
            if earlier:
                cleared.append(part_id)
        if cleared:
            self._remove_empty()
            self.version_ += 1
        return cleared

    def has_cases(self, keys: PromptKeys) -> bool:
        """Return whether a part of a prompt has any case."""
        known = self.crashes_by_part_
        return bool(known) and any(part_id in known for part_id in keys.part_ids)

    def runs(self) -> Iterator[tuple[Crash, LostRun]]:
        """Yield every recorded run with its crash, the newest crash first."""
        for crash in reversed(self.crashes_):
            for run in crash.runs_:
                yield crash, run

    def _crash_of(self, run: LostRun, at: float) -> Crash:
        """Return the crash to which a run belongs, a new one if there is none."""
        near = [c for c in self.crashes_ if abs(c.at - at) <= SAME_CRASH_S]
        for crash in near:
            if run.endpoint_id in crash.endpoint_ids_:
                return crash
        for crash in near:
            if abs(crash.at - at) <= SIMULTANEOUS_S:
                return crash
        crash = Crash(at)
        self.crashes_.append(crash)
        self.crashes_.sort(key=lambda known: known.at)
        return crash

    def _add_case(self, part_id: PartId, crash: Crash) -> None:
        crashes = self.crashes_by_part_.setdefault(part_id, [])
        # A part that was cleared of this crash stays cleared.
        if crash in crashes or part_id in crash.cleared_ids_:
            return
        crashes.append(crash)
        self.case_count_ += 1

    def _retract(self, part_id: PartId, crash: Crash) -> None:
        crash.cleared_ids_.add(part_id)
        crashes = self.crashes_by_part_[part_id]
        crashes.remove(crash)
        self.case_count_ -= 1
        if not crashes:
            del self.crashes_by_part_[part_id]
            self.proven_ids_.discard(part_id)

    def _expire(self, now: float) -> None:
        """Remove crashes that are old, and the oldest beyond the maximum."""
        while self.crashes_:
            oldest = self.crashes_[0]
            is_old = now - oldest.at > CRASH_RETENTION_S
            is_too_much = (
                self.case_count_ > MAX_PART_CASES or len(self.crashes_) > MAX_CRASHES
            )
            if not is_old and not is_too_much:
                return
            self._remove(oldest)

    def _remove(self, crash: Crash) -> None:
        for part_id in crash.endpoint_ids_by_part_:
            if crash in self.crashes_by_part_.get(part_id, ()):
                self._retract(part_id, crash)
        self.crashes_.remove(crash)

    def _remove_empty(self) -> None:
        """Remove the crashes of which no part is suspected any more."""
        self.crashes_ = [
            crash
            for crash in self.crashes_
            if not crash.endpoint_ids_by_part_.keys() <= crash.cleared_ids_
        ]
