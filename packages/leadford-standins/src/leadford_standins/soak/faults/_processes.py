"""Stop, kill, pause and reload entries by signals, in series and overlapping.

A process that ends for any of these reasons is started again by whoever ended it.
"""

import asyncio
import signal

import msgspec

from leadford_standins.soak._base import Fault, FaultKind
from leadford_standins.soak.faults._base import injects
from leadford_standins.soak.parts import EntryProcess, SoakScene

K = FaultKind
# The retry slack that a changed settings file gives; the checks keep to the larger one.
CHANGED_SLACK = 15.0


@injects(K.ENTRY_STOPPED)
async def stop_entry(scene: SoakScene, fault: Fault) -> None:
    """Ask an entry to stop, and start it again some time after it ended."""
    entry = scene.entry(fault.target)
    if entry.is_ending_:
        # The platform may ask twice; that changes nothing for the first stop.
        entry.signal(signal.SIGTERM)
        return
    if not entry.is_running():
        return
    entry.is_ending_ = True
    now = asyncio.get_running_loop().time()
    noted = scene.ledger.disturb(
        entry.name, fault.kind, now, float("inf"), is_planned=True
    )
    scene.on_stop_(entry)
    await entry.stop()
    await _start_again(entry, fault.duration_s)
    noted.until_s = asyncio.get_running_loop().time()


@injects(K.ENTRY_KILLED)
async def kill_entry(scene: SoakScene, fault: Fault) -> None:
    """Kill an entry, also one that is being stopped, and start it again."""
    entry = scene.entry(fault.target)
    if not entry.is_running():
        return
    now = asyncio.get_running_loop().time()
    noted = scene.ledger.disturb(entry.name, fault.kind, now, now + fault.duration_s)
    entry.kill()
    if entry.is_ending_:
        # Whoever stops it notices the end and starts it again.
        return
    entry.is_ending_ = True
    await _start_again(entry, fault.duration_s)
    noted.until_s = asyncio.get_running_loop().time()


async def _start_again(entry: EntryProcess, after_s: float) -> None:
    await asyncio.sleep(after_s)
    entry.start()
    entry.is_ending_ = False


@injects(K.ENTRY_PAUSED)
async def pause_entry(scene: SoakScene, fault: Fault) -> None:
    """Freeze an entry for a while."""
    entry = scene.entry(fault.target)
    number = entry.number_
    if not entry.signal(signal.SIGSTOP):
        return
    now = asyncio.get_running_loop().time()
    noted = scene.ledger.disturb(entry.name, fault.kind, now, now + fault.duration_s)
    await asyncio.sleep(fault.duration_s)
    if entry.number_ == number:
        entry.signal(signal.SIGCONT)
    noted.until_s = asyncio.get_running_loop().time()


@injects(K.ENTRY_RELOADED)
async def reload_entry(scene: SoakScene, fault: Fault) -> None:
    """Change the settings file of an entry and say so."""
    entry = scene.entry(fault.target)
    bounds = scene.options.bounds
    changed = msgspec.structs.replace(bounds, retry_slack=CHANGED_SLACK)
    entry.write_settings(changed if fault.target % 2 else bounds)
    entry.signal(signal.SIGHUP)
