"""Decide which prompt parts crash endpoints, given the crashes of `_part_cases`.

A part has companions: the parts, and the request, that were present at every one of its
crashes and have not been cleared. As long as it has any, the crashes may be theirs as
well, so only a request that holds the companions too is refused. A first part that all
requests of a caller share is then refused only together with the part that crashes.
Companions are cleared by complete answers without the part, or drop out at the next
crash without them.
"""

from collections.abc import Mapping, Sequence

import msgspec

from leadford.quarantine._crash import Crash, PartId, PromptKeys
from leadford.quarantine._decision import FAILED_TRIAL_S
from leadford.quarantine._digest import RequestDigest
from leadford.quarantine._part_cases import PartCases

# Crashes from which a part is known to crash endpoints.
MIN_PART_CRASHES = 3
# Crashes from which requests with a part run apart from other suspected requests.
MIN_SUSPECT_PART_CRASHES = 2
# Many runs may be lost at once, for example when a network fault cuts off this entry.
# The blame of parts is not worked out anew for each of them.
MIN_UPDATE_INTERVAL_S = 0.02
# Time for which a part that was in complete answers before its first crash is not yet
# refused. A harmless one is in another complete answer by then.
PROVEN_PART_GRACE_S = 2.0


class PartBlame(msgspec.Struct, frozen=True):
    """Hold what speaks against one part.

    The companions are the parts and requests that were present at every crash too.
    `is_proven` tells whether the part was in a complete answer shortly before the
    first crash, `has_failed_trial` whether it crashed an endpoint when tried again.

    Units: first_at and last_at, of its crashes, in seconds.
    """

    part_id: PartId
    crashes: int
    companion_parts: frozenset[PartId]
    companion_digests: frozenset[RequestDigest]
    first_at: float
    last_at: float
    is_proven: bool = False
    has_failed_trial: bool = False

    def matches_prompt(self, keys: PromptKeys) -> bool:
        """Return whether a prompt holds the part and all that came with it."""
        return self.companion_parts <= set(keys.part_ids)

    def matches(self, keys: PromptKeys) -> bool:
        """Return whether a request holds the part and all its companions."""
        return self.companion_digests <= {keys.digest} and self.matches_prompt(keys)

    def is_known(self, now: float) -> bool:
        """Return whether the part is known to crash endpoints.

        Units: now in seconds.
        """
        if self.crashes < MIN_PART_CRASHES:
            return False
        return not self.is_proven or now - self.first_at >= PROVEN_PART_GRACE_S


class PartSuspicion(msgspec.Struct, frozen=True):
    """Hold the blame for which a request is refused, and whether it is suspected."""

    known: PartBlame | None = None
    is_suspect: bool = False


_NO_SUSPICION = PartSuspicion()


class PartBlames:
    """Work out the blame of each part after the cases have changed."""

    def __init__(self, cases: PartCases) -> None:
        self.cases = cases
        self.version_ = -1
        self.updated_at_ = float("-inf")
        self.blame_by_part_: Mapping[PartId, PartBlame] = {}

    def suspicion(self, keys: PromptKeys, now: float) -> PartSuspicion:
        """Return what speaks against a request because of its prompt.

        Units: now in seconds.
        """
        if not self.cases.has_cases(keys):
            return _NO_SUSPICION
        self._update(now)
        is_suspect = False
        for part_id in keys.part_ids:
            blame = self.blame_by_part_.get(part_id)
            if blame is None:
                continue
            if blame.is_known(now) and blame.matches(keys):
                return PartSuspicion(blame, True)
            is_suspect |= blame.matches_prompt(keys)
        return PartSuspicion(None, is_suspect)

    def known(self, now: float) -> list[PartBlame]:
        """Return the parts that are known to crash endpoints.

        Units: now in seconds.
        """
        self._update(now)
        return [blame for blame in self.blame_by_part_.values() if blame.is_known(now)]

    def _update(self, now: float) -> None:
        if self.version_ == self.cases.version_:
            return
        if now - self.updated_at_ < MIN_UPDATE_INTERVAL_S:
            return
        self.version_ = self.cases.version_
        self.updated_at_ = now
        self.blame_by_part_ = _blames(self.cases)


def _blames(cases: PartCases) -> dict[PartId, PartBlame]:
    """Return the blame of each part with enough crashes of its own."""
    crashes_by_part = {
        part_id: crashes
        for part_id, crashes in cases.crashes_by_part_.items()
        if len(crashes) >= MIN_SUSPECT_PART_CRASHES
    }
    strength_by_culprit = {
        part_id: _strength(part_id, crashes)
        for part_id, crashes in crashes_by_part.items()
        if len(crashes) >= MIN_PART_CRASHES and part_id not in cases.proven_ids_
    }
    found = {}
    for part_id, crashes in crashes_by_part.items():
        own = _unexplained(part_id, crashes, strength_by_culprit)
        if len(own) >= MIN_SUSPECT_PART_CRASHES:
            is_proven = part_id in cases.proven_ids_
            found[part_id] = _blame(part_id, own, is_proven=is_proven)
    return found


def _strength(part_id: PartId, crashes: Sequence[Crash]) -> float:
    return sum(crash.strength(part_id) for crash in crashes)


def _unexplained(
    part_id: PartId,
    crashes: Sequence[Crash],
    strength_by_culprit: Mapping[PartId, float],
) -> list[Crash]:
    """Return the crashes of a part for which no part with more of them accounts."""
    strength = _strength(part_id, crashes)
    if part_id not in strength_by_culprit:
        strength = 0.0
    stronger = [
        culprit for culprit, other in strength_by_culprit.items() if other > strength
    ]
    return [
        crash
        for crash in crashes
        if not crash.is_beside(part_id)
        and not any(crash.is_explained(part_id, culprit) for culprit in stronger)
    ]


def _blame(part_id: PartId, crashes: list[Crash], *, is_proven: bool) -> PartBlame:
    parts = set.intersection(*(crash.parts_with(part_id) for crash in crashes))
    digests = set.intersection(*(crash.digests_with(part_id) for crash in crashes))
    times = sorted(crash.at for crash in crashes)
    known_at = times[min(MIN_PART_CRASHES, len(times)) - 1]
    return PartBlame(
        part_id,
        len(times),
        frozenset(parts),
        frozenset(digests),
        first_at=times[0],
        last_at=times[-1],
        is_proven=is_proven,
        has_failed_trial=times[-1] - known_at > FAILED_TRIAL_S,
    )
