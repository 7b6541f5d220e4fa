"""Hold the configuration that the soak's operator writes, and every version of it.

Owns the versions and when the store acknowledged each; answers what a version does with
a request. Every prefix of a route is one segment, so the first segment names it.
"""

from random import Random

import msgspec

from leadford_standins.wire import KEY, default_config

DENIED_ROUTE = "404"
DENIED_KEY = "401"
MOVED_ROUTE = "moved"
MOVED_SERVICES = ("plain", "other")
# Milliseconds that callers may leave a connection at rest; longer than a run.
IDLE_MS = 600_000
# A version is higher than the one before by at most this; a choice.
VERSION_STEP = 5


class ConfigSeen(msgspec.Struct, frozen=True):
    """Hold one version: when it was acknowledged and what it allows."""

    number: int
    acked_at: float
    services_by_segment: dict[str, str]
    workspaces_by_key: dict[str, str]

    def verdict(self, path: str, key: str | None) -> str:
        """Return the service that runs a request, or how it is denied."""
        segment = path.strip("/").split("/")[0]
        service = self.services_by_segment.get(segment)
        if service is None:
            return DENIED_ROUTE
        if key not in self.workspaces_by_key:
            return DENIED_KEY
        return service


class ConfigWriter:
    """Change the configuration, and remember all of its versions."""

    def __init__(self, *, random: Random) -> None:
        self.random = random
        self.versions_: list[ConfigSeen] = []
        self.added_routes_: list[str] = []
        self.added_keys_: list[str] = []
        self.gone_routes_: list[str] = []
        self.gone_keys_: list[str] = []
        self.made_ = 0
        self.document_ = self._first()

    def _first(self) -> dict:
        document = default_config()
        document["limits"] = {"idleTimeoutMs": IDLE_MS}
        document["services"].append({"name": "other", "maxConns": 64})
        document["routes"].append(self._route(MOVED_ROUTE, MOVED_SERVICES[0]))
        return document

    def _route(self, name: str, service: str) -> dict:
        routes = self.document_["routes"] if self.versions_ else default_config()
        plain = (routes if self.versions_ else routes["routes"])[1]
        return {**plain, "name": name, "pathPrefix": f"/{name}/", "service": service}

    def acknowledged(self, now: float) -> None:
        """Remember the document as a version that the store has acknowledged."""
        routes = self.document_["routes"]
        self.versions_.append(
            ConfigSeen(
                self.document_["version"],
                now,
                {route["name"]: route["service"] for route in routes},
                {
                    key: workspace["name"]
                    for workspace in self.document_["tenants"]
                    for key in workspace["apiKeys"]
                },
            )
        )

    def next_version(self) -> None:
        """Raise the version by an uneven step."""
        self.document_["version"] += self.random.randint(1, VERSION_STEP)

    def move_route(self) -> None:
        """Send the moved route to the other service."""
        for route in self.document_["routes"]:
            if route["name"] != MOVED_ROUTE:
                continue
            here = MOVED_SERVICES.index(route["service"])
            route["service"] = MOVED_SERVICES[1 - here]

    def add_routes(self, count: int) -> None:
        """Add routes that never were before."""
        for _ in range(count):
            self.made_ += 1
            name = f"added-{self.made_}"
            service = self.random.choice(MOVED_SERVICES)
            self.document_["routes"].append(self._route(name, service))
            self.added_routes_.append(name)

    def remove_route(self) -> None:
        """Remove one of the added routes."""
        if not self.added_routes_:
            return
        name = self.random.choice(self.added_routes_)
        self.added_routes_.remove(name)
        self.gone_routes_.append(name)
        kept = [route for route in self.document_["routes"] if route["name"] != name]
        self.document_["routes"] = kept

    def add_key(self) -> None:
        """Add a key that never was before."""
        self.made_ += 1
        key = f"added-key-{self.made_}"
        self.added_keys_.append(key)
        self._keys().append(key)

    def revoke_key(self) -> None:
        """Revoke one of the added keys."""
        if not self.added_keys_:
            return
        key = self.random.choice(self.added_keys_)
        self.added_keys_.remove(key)
        self.gone_keys_.append(key)
        self._keys().remove(key)

    def _keys(self) -> list[str]:
        return self.document_["tenants"][0]["apiKeys"]

    def draw_key(self) -> str | None:
        """Return a key that a caller uses: mostly a sound one."""
        drawn = self.random.random()
        if drawn < 0.85:
            return KEY
        if drawn < 0.95 and self.added_keys_:
            return self.random.choice(self.added_keys_[-3:])
        if drawn < 0.98 and self.gone_keys_:
            return self.random.choice(self.gone_keys_[-3:])
        return "never-a-key" if drawn > 0.99 else KEY
