"""Check documented guarantees against what callers, the store and endpoints saw.

Each check is a class that a decorator registers. Checks run after the soak and read its
evidence alone: the ledger, the versions of the configuration, and the bounds.
"""

from leadford_standins.soak.checks import (  # noqa: F401  (register their checks)
    _answers,
    _bounds,
    _config,
    _cuts,
    _quarantine,
    _service,
    _software,
    _sound,
)
from leadford_standins.soak.checks._base import (
    Broken,
    Check,
    Evidence,
    checks,
    run_checks,
)

__all__ = ["Broken", "Check", "Evidence", "checks", "run_checks"]
