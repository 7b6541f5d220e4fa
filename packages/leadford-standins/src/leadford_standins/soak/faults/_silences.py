"""Let sound endpoints fall silent for a while: one, several in turn, or a service.

A silent endpoint runs its requests and sends what it has to say afterwards, so the
ledger holds no disturbance of it.
"""

import asyncio

from leadford_standins.soak._base import Fault, FaultKind
from leadford_standins.soak.faults._base import injects
from leadford_standins.soak.parts import RunningEndpoint, SoakScene

K = FaultKind


def _same_service(scene: SoakScene, target: int) -> list[RunningEndpoint]:
    """Return the endpoints of one service, the target first; none if none lives."""
    live = scene.endpoints_.live_
    if not live:
        return []
    service = live[target % len(live)].endpoint.service
    copies = [running for running in live if running.endpoint.service == service]
    first = copies.index(live[target % len(live)])
    return copies[first:] + copies[:first]


@injects(K.ENDPOINT_SILENT)
async def silence_endpoint(scene: SoakScene, fault: Fault) -> None:
    """Let one endpoint fall silent."""
    endpoints = _same_service(scene, fault.target)[:1]
    scene.endpoints_.silence(endpoints, fault.duration_s)


@injects(K.ENDPOINTS_SILENT_IN_TURN)
async def silence_in_turn(scene: SoakScene, fault: Fault) -> None:
    """Let endpoints of a service fall silent, each as the one before goes on."""
    endpoints = _same_service(scene, fault.target)
    if not endpoints:
        return
    for number in range(int(fault.amount)):
        running = endpoints[number % len(endpoints)]
        if running in scene.endpoints_.live_:
            scene.endpoints_.silence([running], fault.duration_s)
        await asyncio.sleep(fault.duration_s)


@injects(K.SERVICE_SILENT)
async def silence_service(scene: SoakScene, fault: Fault) -> None:
    """Let all endpoints of a service fall silent at once."""
    endpoints = _same_service(scene, fault.target)
    scene.endpoints_.silence(endpoints, fault.duration_s)
