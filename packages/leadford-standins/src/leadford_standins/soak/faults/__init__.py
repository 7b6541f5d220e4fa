"""Draw the faults and changes of a soak from its seed, and carry them out.

Each kind has an injector that a decorator puts in the registry.
"""

from leadford_standins.soak.faults import (  # noqa: F401  (they fill the registry)
    _links,
    _platform,
    _processes,
    _upgrades,
)
from leadford_standins.soak.faults._base import inject, injectors_by_kind
from leadford_standins.soak.faults._plan import draw_plan

__all__ = ["draw_plan", "inject", "injectors_by_kind"]
