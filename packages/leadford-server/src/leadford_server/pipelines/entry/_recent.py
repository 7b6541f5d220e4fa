"""Remember requests that ended or were refused a short while ago.

For callers that repeat or read again, and for operators who ask what was decided.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from leadford.common import RequestId
from leadford_server.pipelines.entry._admitting import Refusal
from leadford_server.pipelines.entry._run import RequestRun
from leadford_server.pipelines.entry._trail import Trail, TrailStep

# Maximum number of remembered requests that ended, and of trails of refused ones.
ENDED_COUNT_MAX = 500
REFUSED_COUNT_MAX = 1000
# Time for which a request that ended can be read again here.
ENDED_KEPT_S = 10.0


class RecentRequests:
    """Hold requests that ended or were refused.

    Units: clock in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.ended_by_id_: OrderedDict[RequestId, RequestRun] = OrderedDict()
        self.refused_by_id_: OrderedDict[RequestId, Trail] = OrderedDict()

    def add_ended(self, run: RequestRun) -> None:
        """Remember a request that ended."""
        self.ended_by_id_[run.request_id] = run
        if len(self.ended_by_id_) > ENDED_COUNT_MAX:
            self.ended_by_id_.popitem(last=False)
        loop = asyncio.get_running_loop()
        loop.call_later(ENDED_KEPT_S, self._forget, run)

    def _forget(self, run: RequestRun) -> None:
        if self.ended_by_id_.get(run.request_id) is run:
            del self.ended_by_id_[run.request_id]

    def find_ended(self, request_id: RequestId) -> RequestRun | None:
        """Return a request that ended a short while ago."""
        return self.ended_by_id_.get(request_id)

    def add_refused(self, refusal: Refusal) -> None:
        """Remember why a request was refused."""
        now = self.clock()
        trail = Trail(started_at=now)
        problem = refusal.problem
        trail.add(now, f"refused: {problem.reason.value}, {problem.detail}")
        self.refused_by_id_[refusal.request_id] = trail
        if len(self.refused_by_id_) > REFUSED_COUNT_MAX:
            self.refused_by_id_.popitem(last=False)

    def refused_trail(self, request_id: RequestId) -> list[TrailStep]:
        """Return what was decided for a refused request, as far as it is remembered."""
        refused = self.refused_by_id_.get(request_id)
        return refused.steps_ if refused is not None else []
