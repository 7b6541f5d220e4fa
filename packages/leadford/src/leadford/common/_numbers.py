"""Parse numbers in text from other programs, which may contain anything."""

import math


def parse_count(text: str | None) -> int | None:
    """Return a non-negative integer, or None for anything else."""
    return int(text) if text is not None and text.strip().isdecimal() else None


def parse_amount(text: str | None) -> float | None:
    """Return a non-negative finite number, or None for anything else."""
    try:
        value = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0.0 else None
