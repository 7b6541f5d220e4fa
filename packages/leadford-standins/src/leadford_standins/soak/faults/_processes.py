"""Stop, kill, pause and reload entries by signals, in series and overlapping.

The injector that ends a process also starts it again.
"""

import asyncio
import signal

import msgspec

from leadford_standins.soak._base import Fault, FaultKind
from leadford_standins.soak.faults._base import injects
from leadford_standins.soak.parts import EntryProcess, ProcessorLimit, SoakScene

K = FaultKind
# Retry slack of the changed settings file; the checks use the larger, unchanged one.
CHANGED_RETRY_SLACK = 15.0


@injects(K.ENTRY_STOPPED)
async def stop_entry(scene: SoakScene, fault: Fault) -> None:
    """Stop an entry by SIGTERM, and start it again some time after it ended."""
    entry = scene.entry(fault.target)
    if entry.is_ending_:
        # The platform may send SIGTERM twice; the second has no effect on the stop.
        entry.signal(signal.SIGTERM)
        return
    if not entry.is_running():
        return
    entry.is_ending_ = True
    now = asyncio.get_running_loop().time()
    disturbance = scene.ledger.disturb(
        entry.name, fault.kind, now, float("inf"), is_planned=True
    )
    scene.on_stop_(entry)
    await entry.stop()
    await restart_later(entry, fault.duration_s)
    disturbance.until_s = asyncio.get_running_loop().time()


@injects(K.ENTRY_KILLED)
async def kill_entry(scene: SoakScene, fault: Fault) -> None:
    """Kill an entry, even one that is stopping, and start it again."""
    entry = scene.entry(fault.target)
    if not entry.is_running():
        return
    now = asyncio.get_running_loop().time()
    disturbance = scene.ledger.disturb(
        entry.name, fault.kind, now, now + fault.duration_s
    )
    entry.kill()
    if entry.is_ending_:
        # The injector that stops it starts it again.
        return
    entry.is_ending_ = True
    await restart_later(entry, fault.duration_s)
    disturbance.until_s = asyncio.get_running_loop().time()


async def restart_later(entry: EntryProcess, after_s: float) -> None:
    """Start an entry again after some time."""
    await asyncio.sleep(after_s)
    entry.start()
    entry.is_ending_ = False


@injects(K.ENTRY_PAUSED)
async def pause_entry(scene: SoakScene, fault: Fault) -> None:
    """Pause an entry for a while by SIGSTOP."""
    entry = scene.entry(fault.target)
    number = entry.start_count_
    if not entry.signal(signal.SIGSTOP):
        return
    now = asyncio.get_running_loop().time()
    disturbance = scene.ledger.disturb(
        entry.name, fault.kind, now, now + fault.duration_s
    )
    await asyncio.sleep(fault.duration_s)
    if entry.start_count_ == number:
        entry.signal(signal.SIGCONT)
    disturbance.until_s = asyncio.get_running_loop().time()


@injects(K.ENTRY_SHORT_OF_PROCESSOR)
async def limit_processor(scene: SoakScene, fault: Fault) -> None:
    """Give an entry little processor time for a while, and send most callers to it."""
    entry = scene.entry(fault.target)
    if not entry.is_running():
        return
    now = asyncio.get_running_loop().time()
    disturbance = scene.ledger.disturb(
        entry.name, fault.kind, now, now + fault.duration_s
    )
    limit = ProcessorLimit(process=entry.process_)
    limit.start()
    if fault.amount > 0.0:
        scene.favour_(entry, fault.amount)
    await asyncio.sleep(fault.duration_s)
    scene.favour_(None, 0.0)
    limit.end()
    disturbance.until_s = asyncio.get_running_loop().time()


@injects(K.ENTRY_RELOADED)
async def reload_entry(scene: SoakScene, fault: Fault) -> None:
    """Change the settings file of an entry and send it SIGHUP."""
    entry = scene.entry(fault.target)
    bounds = scene.options.bounds
    changed = msgspec.structs.replace(bounds, retry_slack=CHANGED_RETRY_SLACK)
    entry.write_settings(changed if fault.target % 2 else bounds)
    entry.signal(signal.SIGHUP)
