"""Inject faults of the store and the endpoints, and change the configuration."""

import asyncio
from collections.abc import Sequence

from leadford_standins.soak._base import (
    MISBEHAVIOUR,
    STORE,
    CrashingPrompts,
    Fault,
    FaultKind,
    RepeatedRequest,
)
from leadford_standins.soak.faults._base import injects
from leadford_standins.soak.parts import ConfigWriter, RunningEndpoint, SoakScene
from leadford_standins.wire import (
    EngineStandIn,
    Misbehaviour,
    PlainStandIn,
    StageStandIn,
    StoreFault,
)

K = FaultKind
STORE_FAULTS = {
    K.STORE_BUSY: StoreFault.BUSY,
    K.STORE_DOWN: StoreFault.RESET,
    K.STORE_SILENT: StoreFault.SILENT,
    K.STORE_SLOW: StoreFault.SLOW,
    K.STORE_LOSES: StoreFault.LOST,
}
# Time from a crash until the store removes the endpoint, which sends nothing itself.
REMOVAL_DELAY_S = 3.0
ENDING_ROUTES = ("safe", "unsafe", "resumed", "once")
# Interval of the checks whether an endpoint has used up its planned misbehaviours.
POLL_INTERVAL_S = 0.1
# Time after which the objects that a restored store lost are written again, and the
# kinds of object that the operator and the endpoints write.
REWRITE_DELAY_S = 0.4
REWRITTEN_KINDS = ("config", "servers")
M = Misbehaviour
PLAIN_MISBEHAVIOURS = (M.LOSE_ANSWER, M.REFUSE, M.FAIL, M.HANG, M.OTHER_ANSWER)
ENGINE_MISBEHAVIOURS = (*PLAIN_MISBEHAVIOURS, M.CUT, M.GONE, M.STALL)
UNFRAMED_MISBEHAVIOURS = (M.UNFRAMED, M.UNFRAMED, M.UNFRAMED_CUT)
STAGE_MISBEHAVIOURS = (M.REFUSE, M.FAIL, M.GONE, M.LOSE_ANSWER)


@injects(*STORE_FAULTS)
async def inject_store_fault(scene: SoakScene, fault: Fault) -> None:
    """Make the store fail for a while; a later fault replaces an active one."""
    now = asyncio.get_running_loop().time()
    until_s = now + fault.duration_s
    disturbance = scene.ledger.disturb(STORE, fault.kind, now, until_s)
    store = scene.store_
    store.slow_s = fault.amount or store.slow_s
    store.fault = STORE_FAULTS[fault.kind]
    await asyncio.sleep(fault.duration_s)
    if store.fault is STORE_FAULTS[fault.kind]:
        store.fault = StoreFault.NONE
    disturbance.until_s = asyncio.get_running_loop().time()


@injects(K.STORE_FORGETS)
async def forget_history(scene: SoakScene, fault: Fault) -> None:
    """Make the store drop the history from which watches resume."""
    now = asyncio.get_running_loop().time()
    scene.ledger.disturb(STORE, fault.kind, now, now)
    scene.store_.forget_history()


@injects(K.STORE_RESTORED)
async def restore_store(scene: SoakScene, fault: Fault) -> None:
    """Make the store unavailable, then restore it from an earlier copy.

    The operator and the endpoints write again what they had written since the copy,
    before the next copy is made: they know what the store lost for one copy only.
    """
    async with scene.restore_lock_:
        await _restore_from_copy(scene, fault)


async def _restore_from_copy(scene: SoakScene, fault: Fault) -> None:
    loop = asyncio.get_running_loop()
    store = scene.store_
    snapshot = store.copy()
    await asyncio.sleep(fault.amount)
    disturbance = scene.ledger.disturb(
        STORE, fault.kind, loop.time(), loop.time() + fault.duration_s + REWRITE_DELAY_S
    )
    store.fault = StoreFault.RESET
    await asyncio.sleep(fault.duration_s)
    before = store.restore(snapshot)
    if store.fault is StoreFault.RESET:
        store.fault = StoreFault.NONE
    await asyncio.sleep(REWRITE_DELAY_S)
    store.rewrite_lost_objects(before, snapshot, REWRITTEN_KINDS)
    disturbance.until_s = loop.time()


def _apply_change(writer: ConfigWriter, fault: Fault) -> None:
    if fault.kind is K.ROUTE_MOVED:
        writer.move_route()
    elif fault.kind is K.ROUTE_ADDED:
        writer.add_routes(1)
    elif fault.kind is K.MANY_ROUTES:
        writer.add_routes(int(fault.amount))
    elif fault.kind is K.ROUTE_REMOVED:
        writer.remove_route()
    elif fault.kind is K.KEY_ADDED:
        writer.add_key()
    else:
        writer.revoke_key()


@injects(
    K.ROUTE_MOVED,
    K.ROUTE_ADDED,
    K.ROUTE_REMOVED,
    K.MANY_ROUTES,
    K.KEY_ADDED,
    K.KEY_REVOKED,
)
async def change_config(scene: SoakScene, fault: Fault) -> None:
    """Write a new version of the configuration."""
    _apply_change(scene.config_, fault)
    scene.config_.next_version()
    scene.write_config()


async def _add_replacement(scene: SoakScene, running: RunningEndpoint) -> None:
    endpoint = running.endpoint
    await scene.endpoints_.add(endpoint.service, endpoint.hall, endpoint.software)


@injects(K.ENDPOINT_DRAINED, K.ENDPOINT_UNLISTED)
async def drain_endpoint(scene: SoakScene, fault: Fault) -> None:
    """Drain or unlist an endpoint in the store, add a replacement, then end it."""
    running = scene.endpoints_.pick(fault.target)
    if running is None:
        return
    listed = fault.kind is K.ENDPOINT_DRAINED
    scene.endpoints_.announce_leaving(running, listed=listed)
    await _add_replacement(scene, running)
    await asyncio.sleep(scene.options.bounds.drain_s + fault.duration_s)
    await scene.endpoints_.end(running, fault.kind)
    scene.store_.delete("servers", running.endpoint.endpoint_id)


@injects(K.ENDPOINT_CRASHED)
async def crash_endpoint(scene: SoakScene, fault: Fault) -> None:
    """End an endpoint without notice; the store removes it later."""
    running = scene.endpoints_.pick(fault.target)
    if running is None:
        return
    await scene.endpoints_.end(running, fault.kind)
    await asyncio.sleep(REMOVAL_DELAY_S)
    scene.store_.delete("servers", running.endpoint.endpoint_id)
    await _add_replacement(scene, running)


@injects(K.ENDPOINT_REPLACED)
async def reuse_address(scene: SoakScene, fault: Fault) -> None:
    """Serve another service at the address of an endpoint that crashed."""
    running = scene.endpoints_.pick(fault.target)
    if running is None:
        return
    others = [e for e in scene.endpoints_.live_ if not e.is_leaving_]
    others = [e for e in others if e.endpoint.service != running.endpoint.service]
    await scene.endpoints_.end(running, fault.kind)
    await asyncio.sleep(fault.duration_s)
    running.proxy_.target = others[fault.target % len(others)].target_
    await asyncio.sleep(REMOVAL_DELAY_S)
    scene.store_.delete("servers", running.endpoint.endpoint_id)
    await _add_replacement(scene, running)


@injects(K.ENDPOINT_MISBEHAVES)
async def inject_misbehaviours(scene: SoakScene, fault: Fault) -> None:
    """Make an endpoint misbehave at its next requests."""
    live = scene.endpoints_.live_
    if not live:
        return
    endpoint = live[fault.target % len(live)].endpoint
    allowed = PLAIN_MISBEHAVIOURS
    if isinstance(endpoint, EngineStandIn):
        allowed = ENGINE_MISBEHAVIOURS
    if isinstance(endpoint, StageStandIn):
        allowed = STAGE_MISBEHAVIOURS
    await _misbehave(scene, endpoint, fault, allowed)


@injects(K.ANSWERS_UNFRAMED)
async def inject_unframed_answers(scene: SoakScene, fault: Fault) -> None:
    """Make an endpoint answer without a length, some streams inside an event."""
    live = [
        running.endpoint
        for running in scene.endpoints_.live_
        if not isinstance(running.endpoint, StageStandIn)
    ]
    if live:
        endpoint = live[fault.target % len(live)]
        allowed = UNFRAMED_MISBEHAVIOURS
        if not scene.options.older:
            # An older build may take a stream without any event for complete.
            allowed = (*allowed, M.UNFRAMED_EMPTY)
        await _misbehave(scene, endpoint, fault, allowed)


async def _misbehave(
    scene: SoakScene,
    endpoint: PlainStandIn,
    fault: Fault,
    allowed: Sequence[Misbehaviour],
) -> None:
    """Plan misbehaviours of an endpoint, and wait until they are used up."""
    for _ in range(max(1, int(fault.amount))):
        endpoint.planned_misbehaviours_.append(scene.random.choice(allowed))
    loop = asyncio.get_running_loop()
    disturbance = scene.ledger.disturb(
        MISBEHAVIOUR, fault.kind, loop.time(), float("inf")
    )
    while endpoint.planned_misbehaviours_ and loop.time() < scene.ends_at_:
        await asyncio.sleep(POLL_INTERVAL_S)
    if not endpoint.planned_misbehaviours_:
        disturbance.until_s = loop.time()


@injects(K.REQUEST_ENDS_ENDPOINTS)
async def repeat_crashing_request(scene: SoakScene, fault: Fault) -> None:
    """Send copies of a request that ends every endpoint which runs it."""
    body = f"ends endpoints, {fault.target} at {fault.at_s}".encode()
    scene.ledger.ending_bodies_.add(body)
    route = ENDING_ROUTES[fault.target % len(ENDING_ROUTES)]
    scene.repeat_(RepeatedRequest(route, body, fault.duration_s, fault.amount))
    await asyncio.sleep(fault.duration_s)


@injects(K.PART_ENDS_ENGINES)
async def send_crashing_prompts(scene: SoakScene, fault: Fault) -> None:
    """Send requests that share a part which ends every engine that answers it."""
    part = f"{fault.target:x}{int(fault.at_s * 1_000):x}"
    scene.ledger.ending_parts_.add(part)
    scene.send_prompts_(CrashingPrompts(part, fault.duration_s, fault.amount))
    await asyncio.sleep(fault.duration_s)


@injects(K.CALLERS_TO_ONE_ENTRY)
async def send_callers_to_one_entry(scene: SoakScene, fault: Fault) -> None:
    """Let callers open most connections to one entry, then to the next one."""
    for target in (fault.target, fault.target + 1):
        scene.favour_(scene.entry(target), fault.amount)
        await asyncio.sleep(fault.duration_s / 2.0)
    scene.favour_(None, 0.0)
