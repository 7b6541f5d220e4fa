"""Draw the faults and changes of a soak from its seed, and inject them.

Each kind has one injector, which a decorator registers.
"""

from leadford_standins.soak.faults import (  # noqa: F401  (register their injectors)
    _links,
    _losses,
    _platform,
    _processes,
    _silences,
    _upgrades,
)
from leadford_standins.soak.faults._base import inject, injectors_by_kind
from leadford_standins.soak.faults._plan import draw_plan

__all__ = ["draw_plan", "inject", "injectors_by_kind"]
