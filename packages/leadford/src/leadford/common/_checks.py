"""Check parameters at the point of use."""


def check_positive(name: str, value: float) -> float:
    """Return a value that is above zero, or raise."""
    if not value > 0:
        raise ValueError(f"{name} must be above 0, got {value!r}")
    return value


def check_fraction(name: str, value: float) -> float:
    """Return a value between zero and one, or raise."""
    if not 0 <= value <= 1:
        raise ValueError(f"{name} must lie between 0 and 1, got {value!r}")
    return value
