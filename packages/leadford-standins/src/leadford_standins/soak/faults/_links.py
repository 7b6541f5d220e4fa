"""Impair the links from entries to the store, to peers and to endpoints.

Each kind of fault sets the state of a link in the loopback proxy, and restores it when
the fault ends. The target of the fault, drawn with the plan, selects the link.
"""

import asyncio

from leadford_standins.soak._base import Fault, FaultKind
from leadford_standins.soak.faults._base import injects
from leadford_standins.soak.parts import Direction, LinkState, SoakScene

K = FaultKind
BOTH_DIRECTIONS = (Direction.TO, Direction.FROM)
DIRECTIONS_BY_KIND = {
    K.STORE_LINK_CUT_TO: (Direction.TO,),
    K.STORE_LINK_CUT_FROM: (Direction.FROM,),
    K.PEER_LINK_CUT: (Direction.FROM,),
    K.STORE_LINK_SILENT: BOTH_DIRECTIONS,
    K.PEER_LINK_SILENT: BOTH_DIRECTIONS,
    K.ENDPOINT_LINK_SILENT: BOTH_DIRECTIONS,
}
STORE_KINDS = (
    K.STORE_LINK_DELAYED,
    K.STORE_LINK_RESET,
    K.STORE_LINK_CUT_TO,
    K.STORE_LINK_CUT_FROM,
    K.STORE_LINK_SILENT,
    K.STORE_LINK_NARROW,
)
PEER_KINDS = (
    K.PEER_LINK_DELAYED,
    K.PEER_LINK_RESET,
    K.PEER_LINK_CUT,
    K.PEER_LINK_SILENT,
)
ENDPOINT_KINDS = (
    K.ENDPOINT_LINK_DELAYED,
    K.ENDPOINT_LINK_RESET,
    K.ENDPOINT_LINK_SILENT,
)
RESET_KINDS = (K.STORE_LINK_RESET, K.PEER_LINK_RESET, K.ENDPOINT_LINK_RESET)
DELAY_KINDS = (K.STORE_LINK_DELAYED, K.PEER_LINK_DELAYED, K.ENDPOINT_LINK_DELAYED)


@injects(*STORE_KINDS)
async def impair_store_link(scene: SoakScene, fault: Fault) -> None:
    """Impair the link of one entry to the store."""
    name = scene.entry(fault.target).name
    await _impair_link(scene, fault, name, scene.store_links_.link(name))


@injects(*PEER_KINDS)
async def impair_peer_link(scene: SoakScene, fault: Fault) -> None:
    """Impair the links from the other entries to one entry."""
    name = scene.entry(fault.target).name
    for other in scene.entries_:
        # News passes both ways on a link, so the fault affects both of its ends.
        now = asyncio.get_running_loop().time()
        scene.ledger.disturb(other.name, fault.kind, now, now + fault.duration_s)
    await _impair_link(scene, fault, name, scene.peer_links_[name])


@injects(*ENDPOINT_KINDS)
async def impair_endpoint_link(scene: SoakScene, fault: Fault) -> None:
    """Impair the links of all entries to one endpoint."""
    live = scene.endpoints_.live_
    if not live:
        return
    running = live[fault.target % len(live)]
    await _impair_link(scene, fault, running.endpoint.endpoint_id, running.link_)


async def _impair_link(
    scene: SoakScene, fault: Fault, scope: str, link: LinkState
) -> None:
    now = asyncio.get_running_loop().time()
    disturbance = scene.ledger.disturb(scope, fault.kind, now, now + fault.duration_s)
    if fault.kind in RESET_KINDS:
        link.reset()
        return
    directions = DIRECTIONS_BY_KIND.get(fault.kind, ())
    for direction in directions:
        link.hold_counts_by_direction_[direction] += 1
    if fault.kind in DELAY_KINDS:
        link.delay_s = fault.amount
    if fault.kind is K.STORE_LINK_NARROW:
        link.bytes_per_s = fault.amount
    await asyncio.sleep(fault.duration_s)
    for direction in directions:
        link.hold_counts_by_direction_[direction] -= 1
    if fault.kind in DELAY_KINDS:
        link.delay_s = 0.0
    if fault.kind is K.STORE_LINK_NARROW:
        link.bytes_per_s = None
    disturbance.until_s = asyncio.get_running_loop().time()
