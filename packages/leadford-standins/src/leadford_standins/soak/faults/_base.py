"""Keep the registry of injectors: how each kind of fault is carried out.

`_inject_links`, `_inject_processes`, `_inject_platform` fill it by decorators.
"""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from leadford_standins.soak._base import Fault, FaultKind
from leadford_standins.soak.parts import SoakScene

Injector = Callable[[SoakScene, Fault], Awaitable[None]]

injectors_by_kind: dict[FaultKind, Injector] = {}


def injects(*kinds: FaultKind) -> Callable[[Injector], Injector]:
    """Register an injector for kinds of fault."""

    def register(injector: Injector) -> Injector:
        for kind in kinds:
            injectors_by_kind[kind] = injector
        return injector

    return register


async def inject(scene: SoakScene, faults: tuple[Fault, ...]) -> None:
    """Carry out a plan; faults overlap, so each runs as a task of its own."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    running: list[asyncio.Task[None]] = []
    for fault in faults:
        await asyncio.sleep(max(0.0, began + fault.at_s - loop.time()))
        running.append(asyncio.create_task(_carry_out(scene, fault)))
    await asyncio.gather(*running)


async def _carry_out(scene: SoakScene, fault: Fault) -> None:
    now = asyncio.get_running_loop().time()
    scene.ledger.injected_.append((now, fault.kind.value, str(fault.target)))
    try:
        await injectors_by_kind[fault.kind](scene, fault)
    except Exception:
        # A broken injector must not end the run, nor pass unseen.
        scene.ledger.errors_.append(f"{fault.kind.value}: {traceback.format_exc()}")
