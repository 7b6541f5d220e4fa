"""Read headers that are the same on every platform."""

from leadford.common import parse_amount


def keep_alive_timeout_s(keep_alive: str | None) -> float | None:
    """Return the idle time that a `Keep-Alive` header states, None if it has none."""
    for part in (keep_alive or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return parse_amount(value)
    return None
