"""Lose all entries at once, and release new software of engines beside it."""

import asyncio

from leadford_standins.soak._base import Fault, FaultKind
from leadford_standins.soak.faults._base import injects
from leadford_standins.soak.faults._processes import kill_entry
from leadford_standins.soak.parts import SoakScene

K = FaultKind
ENGINE_SERVICE = "engine"


@injects(K.ALL_ENTRIES_KILLED)
async def kill_all_entries(scene: SoakScene, fault: Fault) -> None:
    """Kill all entries at the same moment, and start them again."""
    kills = [
        Fault(fault.at_s, fault.kind, number, fault.duration_s)
        for number in range(len(scene.entries_))
    ]
    await asyncio.gather(*[kill_entry(scene, kill) for kill in kills])


@injects(K.SOFTWARE_RELEASED)
async def release_software(scene: SoakScene, fault: Fault) -> None:
    """Replace the engines of the oldest version by engines of a new one."""
    pool = scene.endpoints_
    engines = [
        running
        for running in pool.live_
        if running.endpoint.service == ENGINE_SERVICE and not running.is_leaving_
    ]
    if not engines:
        return
    oldest = min(running.endpoint.software for running in engines)
    leaving = [running for running in engines if running.endpoint.software == oldest]
    software = pool.next_software()
    for running in leaving:
        await pool.add(ENGINE_SERVICE, running.endpoint.hall, software)
        if running in pool.live_:
            pool.announce_leaving(running, listed=True)
    await asyncio.sleep(scene.options.bounds.drain_s + fault.duration_s)
    for running in leaving:
        if running in pool.live_:
            await pool.end(running, fault.kind)
