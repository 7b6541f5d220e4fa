"""Know for how long a newer configuration has been in force elsewhere.

Peers say in each frame which version they run. An entry that has heard of a newer one
and has not got it decides by what is no longer true; how long it may do so is decided
in `leadford.forwarding.routes`.
"""


class HeardVersions:
    """Keep when versions newer than the own one were first heard of."""

    def __init__(self) -> None:
        self.heard_at_by_version_: dict[int, float] = {}

    def record(self, version: int, known: int, now: float) -> None:
        """Record a version that a peer runs."""
        if version <= known:
            return
        self.heard_at_by_version_.setdefault(version, now)

    def behind_s(self, known: int, now: float) -> float | None:
        """Return for how long a newer version than the own one has been known of.

        Units: seconds; None when no newer one is known of.
        """
        heard = self.heard_at_by_version_
        for version in [version for version in heard if version <= known]:
            del heard[version]
        if not heard:
            return None
        return now - min(heard.values())
