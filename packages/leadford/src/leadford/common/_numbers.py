"""Read numbers from text that another program wrote, which may hold anything."""

import math


def parse_count(text: str | None) -> int | None:
    """Return a whole number from 0 on; None for anything else."""
    return int(text) if text is not None and text.strip().isdecimal() else None


def parse_amount(text: str | None) -> float | None:
    """Return a finite number from 0 on; None for anything else."""
    try:
        value = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0.0 else None
