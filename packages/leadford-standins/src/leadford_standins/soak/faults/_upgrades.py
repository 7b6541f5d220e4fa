"""Plan in which order the entries of a soak change their build, and carry it out.

The steps follow from the options alone, so the seeds of runs without them mean what
they did. A step is a planned stop, after which the other build starts in its place;
faults and changes go on meanwhile.
"""

import msgspec

from leadford_standins.soak._base import Fault, FaultKind, SoakOptions, UpgradeWay
from leadford_standins.soak.faults._base import injects
from leadford_standins.soak.faults._processes import stop_entry
from leadford_standins.soak.parts import SoakScene

# Seconds at the start in which entries learn their peers, and at the end in which the
# last one that was replaced still serves; choices.
FIRST_AT_S = 3.0
LAST_BEFORE_END_S = 4.0
# Seconds between the end of a build and the start of the next one; a choice.
START_AFTER_S = 0.3


def upgrade_steps(options: SoakOptions) -> list[Fault]:
    """Return when which entry is replaced; none where one build runs."""
    if not options.older or options.upgrade is UpgradeWay.HALF:
        return []
    steps = [(number, True) for number in range(options.entries)]
    if options.upgrade is UpgradeWay.AND_BACK:
        steps += [(number, False) for number in range(options.entries)]
    span_s = max(0.0, options.seconds - FIRST_AT_S - LAST_BEFORE_END_S)
    gap_s = span_s / len(steps)
    return [
        Fault(
            round(FIRST_AT_S + place * gap_s, 3),
            FaultKind.ENTRY_UPGRADED,
            target=number,
            duration_s=START_AFTER_S,
            amount=float(is_newer),
        )
        for place, (number, is_newer) in enumerate(steps)
    ]


@injects(FaultKind.ENTRY_UPGRADED)
async def upgrade_entry(scene: SoakScene, fault: Fault) -> None:
    """Let the other build start in the place of an entry, once that has stopped."""
    entry = scene.entry(fault.target)
    entry.program = scene.builds.program(is_newer=fault.amount > 0.0)
    stop = msgspec.structs.replace(fault, kind=FaultKind.ENTRY_STOPPED)
    await stop_entry(scene, stop)
