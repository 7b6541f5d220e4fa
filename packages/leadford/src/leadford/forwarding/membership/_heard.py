"""Track for how long a newer configuration has been in force at peers.

Peers state in each frame which version they run. An entry that knows of a newer version
but does not have it decides by an outdated configuration; `leadford.forwarding.routes`
decides how long it may do so.
"""


class PeerVersions:
    """Keep when each version newer than this entry's own was first reported."""

    def __init__(self) -> None:
        self.heard_at_by_version_: dict[int, float] = {}

    def record(self, version: int, known: int, now: float) -> None:
        """Record a version that a peer runs, if it is newer than `known`."""
        if version <= known:
            return
        self.heard_at_by_version_.setdefault(version, now)

    def stale_s(self, known: int, now: float) -> float | None:
        """Return for how long a version newer than `known` has been reported.

        Units: seconds; None if no newer version has been reported.
        """
        heard = self.heard_at_by_version_
        for version in [version for version in heard if version <= known]:
            del heard[version]
        if not heard:
            return None
        return now - min(heard.values())
