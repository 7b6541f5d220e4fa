"""Describe one crash of an endpoint, and the runs of prompts that it ended.

`_part_cases` joins lost runs into crashes, and `_part_blame` compares the parts that
were present at them.
"""

from typing import NewType

import msgspec

from leadford.common import EndpointId
from leadford.quarantine._digest import RequestDigest
from leadford.quarantine._ledger import CaseId

PartId = NewType("PartId", str)

# Fraction of the endpoints of one crash at which a part must have been served.
MIN_ENDPOINT_FRACTION = 0.25
# An endpoint is more likely to crash as it begins an answer than later in it.
UNDER_WAY_STRENGTH = 0.5
# Time for which an answer must have been arriving to count as under way.
UNDER_WAY_S = 0.5


class PromptKeys(msgspec.Struct, frozen=True):
    """Hold what identifies the causes that a request may share with others.

    `part_ids` are the parts of its prompt that may be blamed.
    """

    digest: RequestDigest
    part_ids: tuple[PartId, ...] = ()


class LostRun(msgspec.Struct, frozen=True):
    """Hold one run that ended because its endpoint closed the connection.

    `proven_ids` are the parts that were in a complete answer shortly before;
    `is_under_way` tells whether the answer had been arriving for a while.

    Units: age_s in seconds, as of when the run is recorded or reported.
    """

    case_id: CaseId
    endpoint_id: EndpointId
    keys: PromptKeys
    proven_ids: tuple[PartId, ...] = ()
    is_under_way: bool = False
    age_s: float = 0.0


class Crash:
    """Hold the runs that one crash ended, and the parts cleared of it since.

    Units: at in seconds.
    """

    def __init__(self, at: float) -> None:
        self.at = at
        self.endpoint_ids_: set[EndpointId] = set()
        self.endpoint_ids_by_part_: dict[PartId, set[EndpointId]] = {}
        self.runs_by_part_: dict[PartId, list[LostRun]] = {}
        # Parts of runs whose answer had not begun, or had only just begun.
        self.fresh_ids_: set[PartId] = set()
        self.runs_: list[LostRun] = []
        self.cleared_ids_: set[PartId] = set()

    def add(self, run: LostRun) -> None:
        """Add a run that the crash ended."""
        self.runs_.append(run)
        self.endpoint_ids_.add(run.endpoint_id)
        if not run.is_under_way:
            self.fresh_ids_.update(run.keys.part_ids)
        for part_id in run.keys.part_ids:
            endpoint_ids = self.endpoint_ids_by_part_.setdefault(part_id, set())
            endpoint_ids.add(run.endpoint_id)
            self.runs_by_part_.setdefault(part_id, []).append(run)

    def parts_with(self, part_id: PartId) -> set[PartId]:
        """Return the parts that came with a part in lost runs, and are not cleared."""
        runs = self.runs_by_part_[part_id]
        found = {name for run in runs for name in run.keys.part_ids}
        return found - self.cleared_ids_

    def digests_with(self, part_id: PartId) -> set[RequestDigest]:
        """Return the requests that held a part in lost runs."""
        return {run.keys.digest for run in self.runs_by_part_[part_id]}

    def strength(self, part_id: PartId) -> float:
        """Return how much the crash speaks against a part, compared with others."""
        return 1.0 if part_id in self.fresh_ids_ else UNDER_WAY_STRENGTH

    def is_beside(self, part_id: PartId) -> bool:
        """Return whether most of the endpoints were lost without a part.

        Endpoints that are lost at the same time were cut off, or crashed for several
        reasons.
        """
        at_part = self.endpoint_ids_by_part_[part_id]
        return len(at_part) < MIN_ENDPOINT_FRACTION * len(self.endpoint_ids_)

    def is_explained(self, part_id: PartId, culprit_id: PartId) -> bool:
        """Return whether a culprit was at each endpoint at which a part was lost."""
        at_culprit = self.endpoint_ids_by_part_.get(culprit_id, set())
        return self.endpoint_ids_by_part_[part_id] <= at_culprit
