"""Start, kill, freeze and stop the processes of a fleet.

This is scaffolding for demonstrations and measurements: leadford's own processes
start no other.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from random import Random

import msgspec

from leadford.pipelines.config import (
    config_from_document,
    encode_head,
    make_head,
    split,
)
from leadford_standins.fleet._layout import (
    LOOPBACK,
    EndpointSpec,
    FleetSpec,
    api_key,
)
from leadford_standins.fleet._ports import PortBlock
from leadford_standins.fleet._serve import ENDPOINT_PARTS

# How long a fleet may take to be ready, and one of its processes to stop.
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
# How long a call to a process may take.
CALL_TIMEOUT_S = 5.0
# Time between checks whether a process answers, and whether an entry is connected.
ANSWER_POLL_INTERVAL_S = 0.05
CONNECTION_POLL_INTERVAL_S = 0.02
# How much of the log of a process is printed if the fleet does not start.
MAX_PRINTED_LOG_CHARACTERS = 2_000
SECRET = "stand-in secret of a loopback fleet"


class FleetFile(msgspec.Struct, kw_only=True):
    """Tell a load tool where a running fleet is and how to disturb it."""

    name: str
    entries: list[str]
    store: str
    hosts: str
    api_keys: dict[str, str]
    controls_by_endpoint: dict[str, str]
    pids_by_name: dict[str, int]
    document: dict


def _call(method: str, url: str, body: bytes | None = None) -> bytes:
    request = urllib.request.Request(url, data=body, method=method)
    with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
        return answer.read()


class Fleet:
    """Hold the processes of one fleet."""

    def __init__(self, *, spec: FleetSpec, verbosity: str = "warning") -> None:
        self.spec = spec
        self.verbosity = verbosity
        self.processes_by_name_: dict[str, subprocess.Popen] = {}
        self.commands_by_name_: dict[str, list[str]] = {}
        self.folder_ = Path(tempfile.mkdtemp(prefix="leadford-fleet-"))
        self.ports_ = PortBlock(random=Random())

    def start(self) -> None:
        """Start stand-ins, store the configuration, start agents and entries."""
        self.spec.assign_ports(self.ports_.claim(self.spec.ports_needed))
        spec_path = self.folder_ / "spec.json"
        spec_path.write_bytes(msgspec.json.encode(self.spec))
        parts = [f"endpoints-{number}" for number in range(ENDPOINT_PARTS)]
        for part in ("store", *parts):
            module = [sys.executable, "-m", "leadford_standins.main", "serve"]
            self._start(part, [*module, "--spec", str(spec_path), "--part", part])
        self._wait_for(f"{self.store_url}/objects?prefix=x")
        for endpoint in self.spec.endpoints:
            self._wait_for(f"http://{LOOPBACK}:{endpoint.port}/_records")
        self.store_config()
        for endpoint in self.spec.endpoints:
            self.start_agent(endpoint.name)
        for entry in self.spec.entries:
            self.start_entry(entry.name)
        for name in [*self.agent_names, *self.entry_names]:
            self.wait_ready(name)
        self.wait_connected()

    @property
    def store_url(self) -> str:
        """Return the address of the store."""
        return f"http://{LOOPBACK}:{self.spec.store_port}"

    @property
    def agent_names(self) -> list[str]:
        """Return the names of the agents, which are those of their endpoints."""
        return [endpoint.name for endpoint in self.spec.endpoints]

    @property
    def entry_names(self) -> list[str]:
        """Return the names of the entries."""
        return [entry.name for entry in self.spec.entries]

    def _endpoint(self, name: str) -> EndpointSpec:
        return next(e for e in self.spec.endpoints if e.name == name)

    def store_config(self) -> None:
        """Write the first configuration into the empty store."""
        config = config_from_document(self.spec.config_document()).unwrap()
        for chunk in split(config).values():
            url = f"{self.store_url}/objects/config/chunks/{chunk.key}"
            _call("PUT", url, chunk.data)
        head = encode_head(make_head(config))
        _call("PUT", f"{self.store_url}/objects/config/head", head)

    def start_agent(self, name: str) -> None:
        """Start the agent of an endpoint."""
        endpoint = self._endpoint(name)
        self._start_role(
            name,
            "agent",
            endpoint_id=name,
            host_id=f"host-{name}",
            hall=endpoint.hall,
            peer=f"{LOOPBACK}:{endpoint.agent_port}",
            metrics=f"{LOOPBACK}:{endpoint.metrics_port}",
            endpoint_url=f"http://{LOOPBACK}:{endpoint.port}",
        )

    def start_entry(self, name: str) -> None:
        """Start an entry."""
        entry = next(e for e in self.spec.entries if e.name == name)
        seeds = [e.peer_port for e in self.spec.entries if e.name != name]
        self._start_role(
            name,
            "entry",
            entry_id=name,
            host_id=f"host-{name}",
            hall=entry.hall,
            http=f"{LOOPBACK}:{entry.http_port}",
            peer=f"{LOOPBACK}:{entry.peer_port}",
            seeds=",".join(f"{LOOPBACK}:{port}" for port in seeds[:2]),
            hosts_url=f"http://{LOOPBACK}:{self.spec.hosts_port}",
        )

    def _start_role(self, name: str, role: str, **flags: str) -> None:
        flags["store"] = self.store_url
        flags["secret"] = SECRET
        flags["verbosity"] = self.verbosity
        command = [sys.executable, "-m", "leadford_server.main", role]
        for flag, value in flags.items():
            command.append(f"--{flag.replace('_', '-')}={value}")
        self._start(name, command)

    def _start(self, name: str, command: list[str]) -> None:
        log = (self.folder_ / f"{name}.log").open("ab")
        self.commands_by_name_[name] = command
        self.processes_by_name_[name] = subprocess.Popen(
            command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def _wait_for(self, url: str) -> None:
        limit = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < limit:
            try:
                _call("GET", url)
                return
            except (urllib.error.URLError, OSError):
                time.sleep(ANSWER_POLL_INTERVAL_S)
        raise TimeoutError(f"{url} did not answer; logs are in {self.folder_}")

    def wait_ready(self, name: str) -> None:
        """Wait until a process says that it is ready."""
        self._wait_for(f"{self.health_url(name)}/readyz")

    def wait_connected(self) -> None:
        """Wait until each entry is connected to every endpoint it may use."""
        limit = time.monotonic() + READY_TIMEOUT_S
        for url in self.entry_urls():
            while time.monotonic() < limit:
                state = msgspec.json.decode(_call("GET", f"{url}/readyz"))
                if state["connected"] == state["endpoints"]:
                    break
                time.sleep(CONNECTION_POLL_INTERVAL_S)

    def health_url(self, name: str) -> str:
        """Return the address of a process's health pages."""
        for entry in self.spec.entries:
            if entry.name == name:
                return f"http://{LOOPBACK}:{entry.http_port}"
        endpoint = self._endpoint(name)
        return f"http://{LOOPBACK}:{endpoint.metrics_port}"

    def entry_urls(self) -> list[str]:
        """Return the addresses of the entries."""
        return [self.health_url(name) for name in self.entry_names]

    def endpoint_url(self, name: str) -> str:
        """Return the address of a stand-in endpoint."""
        endpoint = self._endpoint(name)
        return f"http://{LOOPBACK}:{endpoint.port}"

    def set_faults(self, url: str, **faults: object) -> None:
        """Put faults in force at a stand-in; those left out end."""
        _call("POST", f"{url}/_control", msgspec.json.encode(faults))

    def kill(self, name: str) -> None:
        """End a process without warning."""
        self.processes_by_name_[name].kill()
        self.processes_by_name_[name].wait()

    def restart(self, name: str) -> None:
        """Start a process that ended with the command it had."""
        self._start(name, self.commands_by_name_[name])
        self.wait_ready(name)

    def freeze(self, name: str) -> None:
        """Pause a process."""
        self.processes_by_name_[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a paused process go on."""
        self.processes_by_name_[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Ask a process to stop, and return its exit status."""
        process = self.processes_by_name_[name]
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def file(self) -> FleetFile:
        """Return what a load tool needs to know."""
        workspaces = self.spec.document["workspaces"]
        controls = {n: self.endpoint_url(n) for n in self.agent_names}
        controls["store"] = self.store_url
        return FleetFile(
            name=self.spec.name,
            entries=self.entry_urls(),
            store=self.store_url,
            hosts=f"http://{LOOPBACK}:{self.spec.hosts_port}",
            api_keys={name: api_key(name) for name in workspaces},
            controls_by_endpoint=controls,
            pids_by_name={n: p.pid for n, p in self.processes_by_name_.items()},
            document=self.spec.config_document(),
        )

    def stop(self) -> None:
        """End every process that was started here."""
        for process in self.processes_by_name_.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes_by_name_.values():
            process.wait()
        for path in self.folder_.iterdir():
            os.unlink(path)
        self.folder_.rmdir()
        self.ports_.release()

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            for name in self.processes_by_name_:
                log = (self.folder_ / f"{name}.log").read_text()
                text = log[-MAX_PRINTED_LOG_CHARACTERS:]
                if text:
                    print(f"--- {name}\n{text}", file=sys.stderr)
            self.stop()
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop()
