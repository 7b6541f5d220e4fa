"""Check the promises of the pages on what callers, the store and endpoints saw.

Each check is a class that a decorator puts in the registry; all read the ledger after a
run and nothing else.
"""

from leadford_standins.soak.checks import (  # noqa: F401  (they fill the registry)
    _answers,
    _bounds,
    _config,
    _cuts,
    _quarantine,
    _service,
)
from leadford_standins.soak.checks._base import (
    Broken,
    Check,
    Evidence,
    checks,
    run_checks,
)

__all__ = ["Broken", "Check", "Evidence", "checks", "run_checks"]
