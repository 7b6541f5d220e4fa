"""Run the forwarding entries as processes, and signal them.

Owns the processes, their settings and their logs. The soak signals only processes
started here, by process id. Relies on `platform/run.py` of the checkout.
"""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import leadford_platform
from leadford_standins.soak._base import FaultKind, SoakBounds
from leadford_standins.soak._ledger import Incarnation, Ledger

PROGRAM = Path(leadford_platform.__file__).parents[2] / "run.py"
CALLERS_PORT = 8625
READY_PORT = 8621
PEERS_PORT = 7740
# Port bound at the first address of a block for the whole run, so that concurrent runs
# use different blocks.
BLOCK_LOCK_PORT = 8599
POLL_INTERVAL_S = 0.02
# Time past the grace period after which a process that still runs is killed.
GRACE_SLACK_S = 0.2
SETTINGS = """\
nodeName = "{name}"
role = "entry"
serves = ["front"]
ip = "{ip}"
zone = "{hall}"
region = "region"
internalPorts = [{peers}, {peers_last}]
bootstrap = {is_first_start}
[zones]
{zones}
[listen]
front = "{ip}:{callers}"
ready = "{ip}:{ready}"
[bounds]
drainMs = {drain_ms:.0f}
graceS = {grace_s:.0f}
configMs = {config_ms:.0f}
contactMs = {contact_ms:.0f}
retryBudgetRatio = {retry_ratio}
retryWindowS = {retry_window_s:.0f}
retrySlack = {retry_slack:.0f}
[limits]
memoryMb = {memory_mb}
[platform]
address = "{store}"
"""


class AddressBlock:
    """Hold a block of loopback addresses that no other soak uses."""

    def __enter__(self) -> "AddressBlock":
        for number in range(os.getpid(), os.getpid() + 60_000):
            self.prefix_ = f"127.{100 + number // 250 % 100}.{number % 250}"
            self.lock_socket_ = socket.socket()
            try:
                self.lock_socket_.bind((f"{self.prefix_}.1", BLOCK_LOCK_PORT))
            except OSError:
                # Another soak uses this block: try the next one.
                self.lock_socket_.close()
                continue
            return self
        raise RuntimeError("no block of loopback addresses is free")

    def __exit__(self, *error: object) -> None:
        self.lock_socket_.close()

    def address(self, number: int) -> str:
        """Return one address of the block."""
        return f"{self.prefix_}.{number + 2}"


class EntryProcess:
    """Hold one entry: its settings, its process and the number of its starts."""

    def __init__(
        self,
        *,
        name: str,
        ip: str,
        hall: str,
        halls: list[str],
        store: str,
        bounds: SoakBounds,
        folder: Path,
        ledger: Ledger,
        program: Path = PROGRAM,
        newer_program: Path = PROGRAM,
        memory_mb: int = 0,
    ) -> None:
        self.program = program
        self.newer_program = newer_program
        # In megabytes; 0 for no limit.
        self.memory_mb = memory_mb
        self.name = name
        self.ip = ip
        self.hall = hall
        self.halls = halls
        self.store = store
        self.bounds = bounds
        self.folder = folder
        self.ledger = ledger
        self.process_: subprocess.Popen | None = None
        self.start_count_ = 0
        # The bounds in the settings file, None before it is written.
        self.written_bounds_: SoakBounds | None = None
        self.is_ending_ = False

    @property
    def callers(self) -> tuple[str, int]:
        """Return the address that callers connect to."""
        return self.ip, CALLERS_PORT

    @property
    def runs_older_build(self) -> bool:
        """Return whether the process is of the build that this one replaces."""
        return self.program != self.newer_program

    @property
    def pid(self) -> int | None:
        """Return the id of the process while it runs."""
        return self.process_.pid if self.is_running() else None

    def is_running(self) -> bool:
        """Tell whether the process runs, and record its end once it has ended."""
        if self.process_ is None:
            return False
        status = self.process_.poll()
        if status is None:
            return True
        incarnation = self.incarnation_
        if incarnation.ended_at is None:
            incarnation.ended_at = asyncio.get_running_loop().time()
            incarnation.status = status
        return False

    def write_settings(self, bounds: SoakBounds | None = None) -> None:
        """Write the settings file."""
        bounds = bounds or self.bounds
        self.written_bounds_ = bounds
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            hall=self.hall,
            zones="\n".join(f'{hall} = "region"' for hall in self.halls),
            callers=CALLERS_PORT,
            ready=READY_PORT,
            peers=PEERS_PORT,
            peers_last=PEERS_PORT + 15,
            is_first_start="true" if self.start_count_ == 0 else "false",
            drain_ms=bounds.drain_s * 1_000.0,
            grace_s=bounds.grace_s,
            config_ms=bounds.config_s * 1_000.0,
            contact_ms=bounds.contact_s * 1_000.0,
            retry_ratio=bounds.retry_ratio,
            retry_window_s=bounds.retry_window_s,
            retry_slack=bounds.retry_slack,
            memory_mb=self.memory_mb,
            store=self.store,
        )
        path = self.folder / f"{self.name}.toml"
        new_path = path.with_suffix(".new")
        new_path.write_text(text)
        new_path.replace(path)

    def start(self) -> None:
        """Start the process, which appends to the log of earlier starts."""
        if self.start_count_ == 1:
            # The first start of the whole deployment is over.
            self.write_settings(self.written_bounds_)
        environment = {
            **os.environ,
            "LEADFORD_SETTINGS": str(self.folder / f"{self.name}.toml"),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process_ = subprocess.Popen(
                [sys.executable, str(self.program)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.start_count_ += 1
        now = asyncio.get_running_loop().time()
        self.incarnation_ = Incarnation(
            self.name, self.start_count_, now, is_older=self.runs_older_build
        )
        self.ledger.incarnations_.append(self.incarnation_)

    def signal(self, number: signal.Signals) -> bool:
        """Send a signal to the process that was started here, if it still runs."""
        if not self.is_running():
            return False
        self.process_.send_signal(number)
        now = asyncio.get_running_loop().time()
        if number is signal.SIGTERM and self.incarnation_.term_at is None:
            self.incarnation_.term_at = now
        if number is signal.SIGKILL:
            self.incarnation_.was_killed = True
        return True

    async def wait_ended(self, timeout_s: float) -> bool:
        """Wait for the end of the process; return whether it ended in time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        while self.is_running():
            if loop.time() >= until:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return True

    async def stop(self) -> None:
        """Send SIGTERM to the process, and kill it after the grace period."""
        self.signal(signal.SIGTERM)
        if await self.wait_ended(self.bounds.grace_s + GRACE_SLACK_S):
            return
        now = asyncio.get_running_loop().time()
        self.ledger.disturb(self.name, FaultKind.ENTRY_KILLED, now, now)
        self.signal(signal.SIGKILL)
        await self.wait_ended(self.bounds.grace_s)

    def kill(self) -> None:
        """Kill the process, even if it is paused, and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process_ is not None:
            self.process_.wait()
            self.is_running()
