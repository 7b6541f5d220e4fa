"""Harm the links between entries, the store, peers and endpoints.

Each kind of fault sets the state of links in the loopback proxy, and sets it back when
the fault is over. Which links are struck was drawn with the plan.
"""

import asyncio

from leadford_standins.soak._base import Fault, FaultKind
from leadford_standins.soak.faults._base import injects
from leadford_standins.soak.parts import LinkState, SoakScene, Way

K = FaultKind
BOTH_WAYS = (Way.TO, Way.FROM)
WAYS_BY_KIND = {
    K.STORE_LINK_CUT_TO: (Way.TO,),
    K.STORE_LINK_CUT_FROM: (Way.FROM,),
    K.PEER_LINK_CUT: (Way.FROM,),
    K.STORE_LINK_SILENT: BOTH_WAYS,
    K.PEER_LINK_SILENT: BOTH_WAYS,
    K.ENDPOINT_LINK_SILENT: BOTH_WAYS,
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
RESETS = (K.STORE_LINK_RESET, K.PEER_LINK_RESET, K.ENDPOINT_LINK_RESET)
DELAYS = (K.STORE_LINK_DELAYED, K.PEER_LINK_DELAYED, K.ENDPOINT_LINK_DELAYED)


@injects(*STORE_KINDS)
async def harm_store_link(scene: SoakScene, fault: Fault) -> None:
    """Harm the link of one entry to the store."""
    name = scene.entry(fault.target).name
    await _harm(scene, fault, name, scene.store_links_.link(name))


@injects(*PEER_KINDS)
async def harm_peer_link(scene: SoakScene, fault: Fault) -> None:
    """Harm the links that other entries hold to one."""
    name = scene.entry(fault.target).name
    for other in scene.entries_:
        # A harmed link has two ends, and news passes over either.
        now = asyncio.get_running_loop().time()
        scene.ledger.disturb(other.name, fault.kind, now, now + fault.duration_s)
    await _harm(scene, fault, name, scene.peer_links_[name])


@injects(*ENDPOINT_KINDS)
async def harm_endpoint_link(scene: SoakScene, fault: Fault) -> None:
    """Harm the links of all entries to one endpoint."""
    live = scene.endpoints_.live_
    if not live:
        return
    running = live[fault.target % len(live)]
    await _harm(scene, fault, running.endpoint.endpoint_id, running.link_)


async def _harm(scene: SoakScene, fault: Fault, scope: str, link: LinkState) -> None:
    now = asyncio.get_running_loop().time()
    noted = scene.ledger.disturb(scope, fault.kind, now, now + fault.duration_s)
    if fault.kind in RESETS:
        link.reset()
        return
    ways = WAYS_BY_KIND.get(fault.kind, ())
    for way in ways:
        link.holds_by_way_[way] += 1
    if fault.kind in DELAYS:
        link.delay_s = fault.amount
    if fault.kind is K.STORE_LINK_NARROW:
        link.rate = fault.amount
    await asyncio.sleep(fault.duration_s)
    for way in ways:
        link.holds_by_way_[way] -= 1
    if fault.kind in DELAYS:
        link.delay_s = 0.0
    if fault.kind is K.STORE_LINK_NARROW:
        link.rate = None
    noted.until_s = asyncio.get_running_loop().time()
