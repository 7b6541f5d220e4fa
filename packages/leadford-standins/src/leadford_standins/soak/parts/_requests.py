"""Draw the requests of a soak at random: their routes, keys, deadlines and work."""

from random import Random

from leadford_standins.soak._base import RepeatedRequest, SoakOptions
from leadford_standins.soak._ledger import Sent
from leadford_standins.soak.parts._config import MOVED_ROUTE, ConfigWriter
from leadford_standins.soak.parts._endpoints import WORK_HEADER
from leadford_standins.soak.parts._processes import EntryProcess
from leadford_standins.wire import HOST

# Timeout of every route in the configuration of the stand-ins.
ROUTE_TIMEOUT_S = 4.0
ROUTES = ("safe", "unsafe", "resumed", "once", MOVED_ROUTE, "added", "gone", "never")
ROUTE_WEIGHTS = (4, 4, 3, 3, 3, 3, 1, 0.3)
# Requests for an added or a removed route draw it from the last ones.
RECENT_ROUTE_COUNT = 6
SAFE_GET_FRACTION = 0.5
PROMPT_ROUTES = ("resumed", "once")
DEADLINES_MS = (1_500, 3_500)
WORK_MS = (2.0, 60.0)
MIN_LONG_WORK_MS = 300.0


class RequestSource:
    """Make requests, each with an id of its own."""

    def __init__(
        self, *, options: SoakOptions, random: Random, config: ConfigWriter
    ) -> None:
        self.options = options
        self.random = random
        self.config = config
        self.count_ = 0

    def draw(self, entry: EntryProcess) -> Sent:
        """Return a request for an entry, still without headers and body."""
        random = self.random
        route = random.choices(ROUTES, ROUTE_WEIGHTS)[0]
        segment = self._draw_segment(route)
        path = f"/{segment}/{random.randrange(1_000)}?q={random.randrange(10)}"
        is_get = route == "safe" and random.random() < SAFE_GET_FRACTION
        self.count_ += 1
        return Sent(
            request_id=f"r{self.count_:06d}",
            route=route,
            path=path,
            method="GET" if is_get else "POST",
            key=self.config.draw_key(),
            body=b"",
            entry=entry.name,
            incarnation=entry.start_count_,
            sent_at=0.0,
            timeout_s=ROUTE_TIMEOUT_S,
        )

    def _draw_segment(self, route: str) -> str:
        """Return the first segment of a path to a route."""
        if route == "added":
            recent = self.config.added_routes_[-RECENT_ROUTE_COUNT:]
            return self.random.choice(recent or [MOVED_ROUTE])
        if route == "gone":
            recent = self.config.removed_routes_[-RECENT_ROUTE_COUNT:]
            return self.random.choice(recent or ["gone"])
        return route

    def draw_copy(
        self, entry: EntryProcess, *, request: RepeatedRequest, key: str | None
    ) -> Sent:
        """Return a request with the route and the body of one that is repeated."""
        sent = self.draw(entry)
        sent.route, sent.method = request.route, "POST"
        sent.path, sent.key = f"/{request.route}/ending", key
        sent.body = request.body
        return sent

    def draw_prompt(self, entry: EntryProcess, *, part: str, key: str | None) -> Sent:
        """Return a whole request whose prompt has a part that ends engines."""
        sent = self.draw(entry)
        sent.route, sent.method = self.random.choice(PROMPT_ROUTES), "POST"
        sent.path, sent.key = f"/{sent.route}/{sent.request_id}", key
        self.complete(sent)
        sent.asked["X-Prefix-Hash"] = f"aa:50,{part}:30,{sent.request_id}:9"
        return sent

    def complete(self, sent: Sent) -> None:
        """Give a request its headers, and a body if it takes one and has none."""
        random = self.random
        if sent.method == "POST" and not sent.body:
            sent.body = f"payload of {sent.request_id}".encode()
        work_ms = WORK_MS
        if random.random() < self.options.long_part:
            work_ms = (MIN_LONG_WORK_MS, self.options.long_work_s * 1_000.0)
        headers = {
            "Host": HOST,
            "X-Attempt-Id": sent.request_id,
            "X-Deadline-Ms": str(random.randint(*DEADLINES_MS)),
            "X-Pieces": "2,1",
            "X-Piece-Key": f"pk-{sent.request_id}",
            "X-Model": "m",
            "X-Token-Counts": "100,10",
            "X-Prefix-Hash": f"aa:50,{random.randrange(16):x}b:20",
            WORK_HEADER: f"{random.uniform(*work_ms):.0f}",
        }
        if self.options.resume_part > 0.0:
            # A shared part would keep all streams at the engine that has it cached.
            headers["X-Prefix-Hash"] = f"{sent.request_id}:50"
        if sent.body:
            headers["Content-Length"] = str(len(sent.body))
        if sent.key is not None:
            headers["Authorization"] = f"Token {sent.key}"
        sent.asked = headers
