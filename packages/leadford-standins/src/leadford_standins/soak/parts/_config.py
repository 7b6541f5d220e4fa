"""Hold the configuration that the operator of the soak writes, and all its versions.

Owns the versions and the time at which the store acknowledged each; returns the verdict
of a version on a request. Every route prefix is one segment, so the first segment of a
path names the route.
"""

from random import Random

import msgspec

from leadford_standins.wire import KEY, default_config

DENIED_ROUTE = "404"
DENIED_KEY = "401"
MOVED_ROUTE = "moved"
MOVED_SERVICES = ("plain", "other")
# Idle timeout of callers' connections; longer than a run.
IDLE_TIMEOUT_MS = 600_000
# A version number exceeds the one before by at most this.
MAX_VERSION_STEP = 5


class ConfigSeen(msgspec.Struct, frozen=True):
    """Hold a version of the configuration: when it was acknowledged, what it allows."""

    number: int
    acked_at: float
    services_by_segment: dict[str, str]
    workspaces_by_key: dict[str, str]

    def verdict(self, path: str, key: str | None) -> str:
        """Return the service that runs a request, or the status that denies it."""
        segment = path.strip("/").split("/")[0]
        service = self.services_by_segment.get(segment)
        if service is None:
            return DENIED_ROUTE
        if key not in self.workspaces_by_key:
            return DENIED_KEY
        return service


class ConfigWriter:
    """Change the configuration, and record all of its versions."""

    def __init__(self, *, random: Random) -> None:
        self.random = random
        self.versions_: list[ConfigSeen] = []
        self.added_routes_: list[str] = []
        self.added_keys_: list[str] = []
        self.removed_routes_: list[str] = []
        self.revoked_keys_: list[str] = []
        self.added_count_ = 0
        self.document_ = self._make_first_document()

    def _make_first_document(self) -> dict:
        document = default_config()
        document["limits"] = {"idleTimeoutMs": IDLE_TIMEOUT_MS}
        document["services"].append({"name": "other", "maxConns": 64})
        document["routes"].append(self._make_route(MOVED_ROUTE, MOVED_SERVICES[0]))
        return document

    def _make_route(self, name: str, service: str) -> dict:
        routes = self.document_["routes"] if self.versions_ else default_config()
        plain = (routes if self.versions_ else routes["routes"])[1]
        return {**plain, "name": name, "pathPrefix": f"/{name}/", "service": service}

    def record_version(self, now: float) -> None:
        """Record the document as a version that the store has acknowledged."""
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
        """Increase the version number by a random step."""
        self.document_["version"] += self.random.randint(1, MAX_VERSION_STEP)

    def move_route(self) -> None:
        """Switch the moved route to its other service."""
        for route in self.document_["routes"]:
            if route["name"] != MOVED_ROUTE:
                continue
            current = MOVED_SERVICES.index(route["service"])
            route["service"] = MOVED_SERVICES[1 - current]

    def add_routes(self, count: int) -> None:
        """Add routes with names that were never used before."""
        for _ in range(count):
            self.added_count_ += 1
            name = f"added-{self.added_count_}"
            service = self.random.choice(MOVED_SERVICES)
            self.document_["routes"].append(self._make_route(name, service))
            self.added_routes_.append(name)

    def remove_route(self) -> None:
        """Remove one of the added routes."""
        if not self.added_routes_:
            return
        name = self.random.choice(self.added_routes_)
        self.added_routes_.remove(name)
        self.removed_routes_.append(name)
        kept = [route for route in self.document_["routes"] if route["name"] != name]
        self.document_["routes"] = kept

    def add_key(self) -> None:
        """Add a key that was never used before."""
        self.added_count_ += 1
        key = f"added-key-{self.added_count_}"
        self.added_keys_.append(key)
        self._workspace_keys().append(key)

    def revoke_key(self) -> None:
        """Revoke one of the added keys."""
        if not self.added_keys_:
            return
        key = self.random.choice(self.added_keys_)
        self.added_keys_.remove(key)
        self.revoked_keys_.append(key)
        self._workspace_keys().remove(key)

    def _workspace_keys(self) -> list[str]:
        return self.document_["tenants"][0]["apiKeys"]

    def draw_key(self) -> str | None:
        """Return a key for a caller to use, mostly a valid one."""
        drawn = self.random.random()
        if drawn < 0.85:
            return KEY
        if drawn < 0.95 and self.added_keys_:
            return self.random.choice(self.added_keys_[-3:])
        if drawn < 0.98 and self.revoked_keys_:
            return self.random.choice(self.revoked_keys_[-3:])
        return "never-a-key" if drawn > 0.99 else KEY
