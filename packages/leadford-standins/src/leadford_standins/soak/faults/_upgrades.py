"""Plan the order in which the entries of a soak change their build, and carry it out.

The steps depend on the options alone, so a seed draws the same other faults with and
without them. A step is a planned stop, after which the other build starts in place of
the entry; faults and changes continue meanwhile.
"""

import msgspec

from leadford_standins.soak._base import Fault, FaultKind, SoakOptions, UpgradeWay
from leadford_standins.soak.faults._base import injects
from leadford_standins.soak.faults._processes import stop_entry
from leadford_standins.soak.parts import SoakScene

# Time at the start for the entries to learn their peers, and at the end for the entry
# that is replaced last to serve.
FIRST_UPGRADE_AT_S = 3.0
LAST_UPGRADE_BEFORE_END_S = 4.0
# Time between the end of one build and the start of the other.
START_DELAY_S = 0.3


def upgrade_steps(options: SoakOptions) -> list[Fault]:
    """Return a fault for each replacement; none if every entry keeps its build."""
    if not options.older or options.upgrade is UpgradeWay.HALF:
        return []
    steps = [(number, True) for number in range(options.entries)]
    if options.upgrade is UpgradeWay.AND_BACK:
        steps += [(number, False) for number in range(options.entries)]
    span_s = max(0.0, options.seconds - FIRST_UPGRADE_AT_S - LAST_UPGRADE_BEFORE_END_S)
    gap_s = span_s / len(steps)
    return [
        Fault(
            round(FIRST_UPGRADE_AT_S + index * gap_s, 3),
            FaultKind.ENTRY_UPGRADED,
            target=number,
            duration_s=START_DELAY_S,
            amount=float(is_newer),
        )
        for index, (number, is_newer) in enumerate(steps)
    ]


@injects(FaultKind.ENTRY_UPGRADED)
async def upgrade_entry(scene: SoakScene, fault: Fault) -> None:
    """Stop an entry and start the other build in its place."""
    entry = scene.entry(fault.target)
    entry.program = scene.builds.program(is_newer=fault.amount > 0.0)
    stop = msgspec.structs.replace(fault, kind=FaultKind.ENTRY_STOPPED)
    await stop_entry(scene, stop)
