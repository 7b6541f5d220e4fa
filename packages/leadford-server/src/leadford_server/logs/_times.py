"""Write times into log lines."""

# Logged for a time that is not known, or a moment that did not occur.
NEVER_MS = -1


def milliseconds(seconds: float | None) -> int:
    """Return a time for the log, in whole milliseconds."""
    return NEVER_MS if seconds is None else round(seconds * 1_000.0)
