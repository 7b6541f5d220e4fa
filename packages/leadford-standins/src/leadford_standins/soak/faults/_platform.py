"""Trouble the store and the endpoints, and change the configuration."""

import asyncio

from leadford_standins.soak._base import (
    MISBEHAVIOUR,
    STORE,
    Fault,
    FaultKind,
    RepeatedRequest,
)
from leadford_standins.soak.faults._base import injects
from leadford_standins.soak.parts import ConfigWriter, RunningEndpoint, SoakScene
from leadford_standins.wire import (
    EngineStandIn,
    Misbehaviour,
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
# Seconds after a crash until the store forgets an endpoint that says nothing.
FORGOTTEN_S = 3.0
ENDING_ROUTES = ("safe", "unsafe", "resumed", "once")
# Seconds between looks whether all that was to go wrong at an endpoint has.
LOOK_S = 0.1
# Seconds after which what a restored store has lost is written again, and the kinds
# that the operator and the endpoints write.
WRITTEN_AGAIN_S = 0.4
WRITTEN_KINDS = ("config", "servers")
M = Misbehaviour
PLAIN_MISBEHAVIOURS = (M.LOSE_ANSWER, M.REFUSE, M.FAIL, M.HANG, M.OTHER_ANSWER)
ENGINE_MISBEHAVIOURS = (*PLAIN_MISBEHAVIOURS, M.CUT, M.GONE, M.STALL)
STAGE_MISBEHAVIOURS = (M.REFUSE, M.FAIL, M.GONE, M.LOSE_ANSWER)


@injects(*STORE_FAULTS)
async def trouble_store(scene: SoakScene, fault: Fault) -> None:
    """Let the store fail for a while; a later fault replaces one in force."""
    now = asyncio.get_running_loop().time()
    until_s = now + fault.duration_s
    noted = scene.ledger.disturb(STORE, fault.kind, now, until_s)
    store = scene.store_
    store.slow_s = fault.amount or store.slow_s
    store.fault = STORE_FAULTS[fault.kind]
    await asyncio.sleep(fault.duration_s)
    if store.fault is STORE_FAULTS[fault.kind]:
        store.fault = StoreFault.NONE
    noted.until_s = asyncio.get_running_loop().time()


@injects(K.STORE_FORGETS)
async def forget_history(scene: SoakScene, fault: Fault) -> None:
    """Let the store forget what watches go on from."""
    now = asyncio.get_running_loop().time()
    scene.ledger.disturb(STORE, fault.kind, now, now)
    scene.store_.forget_history()


@injects(K.STORE_RESTORED)
async def restore_store(scene: SoakScene, fault: Fault) -> None:
    """Let the store be away, and come back from a copy made some time before.

    The operator and the endpoints write again what they had written since, before the
    next copy is made: they know what the store has lost of one copy.
    """
    async with scene.restoring_:
        await _restore(scene, fault)


async def _restore(scene: SoakScene, fault: Fault) -> None:
    loop = asyncio.get_running_loop()
    store = scene.store_
    held = store.copy()
    await asyncio.sleep(fault.amount)
    noted = scene.ledger.disturb(
        STORE, fault.kind, loop.time(), loop.time() + fault.duration_s + WRITTEN_AGAIN_S
    )
    store.fault = StoreFault.RESET
    await asyncio.sleep(fault.duration_s)
    before = store.restore(held)
    if store.fault is StoreFault.RESET:
        store.fault = StoreFault.NONE
    await asyncio.sleep(WRITTEN_AGAIN_S)
    store.write_again(before, held, WRITTEN_KINDS)
    noted.until_s = loop.time()


def _change(writer: ConfigWriter, fault: Fault) -> None:
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
    """Write another version of the configuration."""
    _change(scene.config_, fault)
    scene.config_.next_version()
    scene.write_config()


async def _replace(scene: SoakScene, running: RunningEndpoint) -> None:
    endpoint = running.endpoint
    await scene.endpoints_.add(endpoint.service, endpoint.hall)


@injects(K.ENDPOINT_DRAINED, K.ENDPOINT_UNLISTED)
async def drain_endpoint(scene: SoakScene, fault: Fault) -> None:
    """Let an endpoint leave as planned: told to the store, ended later, replaced."""
    running = scene.endpoints_.pick(fault.target)
    if running is None:
        return
    listed = fault.kind is K.ENDPOINT_DRAINED
    scene.endpoints_.announce_leaving(running, listed=listed)
    await _replace(scene, running)
    await asyncio.sleep(scene.options.bounds.drain_s + fault.duration_s)
    await scene.endpoints_.end(running, fault.kind)
    scene.store_.delete("servers", running.endpoint.endpoint_id)


@injects(K.ENDPOINT_CRASHED)
async def crash_endpoint(scene: SoakScene, fault: Fault) -> None:
    """End an endpoint that says nothing; the store forgets it later."""
    running = scene.endpoints_.pick(fault.target)
    if running is None:
        return
    await scene.endpoints_.end(running, fault.kind)
    await asyncio.sleep(FORGOTTEN_S)
    scene.store_.delete("servers", running.endpoint.endpoint_id)
    await _replace(scene, running)


@injects(K.ENDPOINT_REPLACED)
async def reuse_address(scene: SoakScene, fault: Fault) -> None:
    """Put an endpoint of another service at the address of one that crashed."""
    running = scene.endpoints_.pick(fault.target)
    if running is None:
        return
    others = [e for e in scene.endpoints_.live_ if not e.is_leaving_]
    others = [e for e in others if e.endpoint.service != running.endpoint.service]
    await scene.endpoints_.end(running, fault.kind)
    await asyncio.sleep(fault.duration_s)
    running.proxy_.target = others[fault.target % len(others)].target_
    await asyncio.sleep(FORGOTTEN_S)
    scene.store_.delete("servers", running.endpoint.endpoint_id)
    await _replace(scene, running)


@injects(K.ENDPOINT_MISBEHAVES)
async def misbehave(scene: SoakScene, fault: Fault) -> None:
    """Let the next requests at an endpoint go wrong."""
    live = scene.endpoints_.live_
    if not live:
        return
    endpoint = live[fault.target % len(live)].endpoint
    allowed = PLAIN_MISBEHAVIOURS
    if isinstance(endpoint, EngineStandIn):
        allowed = ENGINE_MISBEHAVIOURS
    if isinstance(endpoint, StageStandIn):
        allowed = STAGE_MISBEHAVIOURS
    for _ in range(max(1, int(fault.amount))):
        endpoint.next_.append(scene.random.choice(allowed))
    loop = asyncio.get_running_loop()
    noted = scene.ledger.disturb(MISBEHAVIOUR, fault.kind, loop.time(), float("inf"))
    while endpoint.next_ and loop.time() < scene.ends_at_:
        await asyncio.sleep(LOOK_S)
    if not endpoint.next_:
        noted.until_s = loop.time()


@injects(K.REQUEST_ENDS_ENDPOINTS)
async def send_what_ends_endpoints(scene: SoakScene, fault: Fault) -> None:
    """Send a request again and again that ends each endpoint which runs it."""
    body = f"ends endpoints, {fault.target} at {fault.at_s}".encode()
    scene.ledger.ending_bodies_.add(body)
    route = ENDING_ROUTES[fault.target % len(ENDING_ROUTES)]
    scene.repeat_(RepeatedRequest(route, body, fault.duration_s, fault.amount))
    await asyncio.sleep(fault.duration_s)
