"""Parse numbers in text from other programs, which may contain anything."""

import math

# Counts fit into 64 bits; `int` raises an error for very long texts.
MAX_COUNT_DIGITS = 18


def parse_count(text: str | None) -> int | None:
    """Return a non-negative integer, or None for anything else."""
    digits = "" if text is None else text.strip()
    if len(digits) > MAX_COUNT_DIGITS or not digits.isdecimal():
        return None
    return int(digits)


def parse_amount(text: str | None) -> float | None:
    """Return a non-negative finite number, or None for anything else."""
    try:
        value = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0.0 else None
