"""Describe a fleet: its entries, endpoints, stand-ins and configuration.

What `_presets` builds, `_serve` and `_processes` read, and a file hands to stand-in
processes. Ports are filled in when the fleet starts.
"""

import hashlib
from typing import Any

import msgspec

LOOPBACK = "127.0.0.1"


def api_key(workspace: str) -> str:
    """Return the API key of a workspace in stand-in fleets."""
    return f"key-of-{workspace}"


def operator_token(operator: str) -> str:
    """Return the token of an operator in stand-in fleets."""
    return f"token-of-{operator}"


def hash_text(text: str) -> str:
    """Return the hash by which the configuration knows a key or token."""
    return hashlib.sha256(text.encode()).hexdigest()


class EndpointSpec(msgspec.Struct, kw_only=True):
    """Describe one stand-in endpoint and where its agent listens.

    Units: service_ms is a call's service time; step_ms is one decoding step.
    """

    name: str
    pool: str
    kind: str
    hall: str
    concurrency: int
    service_ms: float = 10.0
    step_ms: float = 10.0
    slope: float = 0.04
    models: tuple[str, ...] = ()
    checks_fences: bool = True
    port: int = 0
    agent_port: int = 0
    metrics_port: int = 0


class EntrySpec(msgspec.Struct, kw_only=True):
    """Describe one entry."""

    name: str
    hall: str
    http_port: int = 0
    peer_port: int = 0


class FleetSpec(msgspec.Struct, kw_only=True):
    """Describe a whole fleet; `document` holds the other parts of its configuration."""

    name: str
    endpoints: list[EndpointSpec]
    entries: list[EntrySpec]
    document: dict[str, Any]
    seed: int = 1
    store_port: int = 0
    hosts_port: int = 0

    def assign_ports(self, ports: list[int]) -> None:
        """Take a free port for everything that listens."""
        remaining = iter(ports)
        self.store_port = next(remaining)
        self.hosts_port = next(remaining)
        for entry in self.entries:
            entry.http_port = next(remaining)
            entry.peer_port = next(remaining)
        for endpoint in self.endpoints:
            endpoint.port = next(remaining)
            endpoint.agent_port = next(remaining)
            endpoint.metrics_port = next(remaining)

    @property
    def ports_needed(self) -> int:
        """Return how many ports the fleet listens on."""
        return 2 + 2 * len(self.entries) + 3 * len(self.endpoints)

    def config_document(self) -> dict[str, Any]:
        """Return the configuration as an operator would write it."""
        endpoints = {}
        for endpoint in self.endpoints:
            endpoints[endpoint.name] = {
                "pool": endpoint.pool,
                "host": f"host-{endpoint.name}",
                "hall": endpoint.hall,
                "agent": f"{LOOPBACK}:{endpoint.agent_port}",
                "url": f"http://{LOOPBACK}:{endpoint.port}",
                "models": list(endpoint.models),
            }
        entries = {}
        for entry in self.entries:
            entries[entry.name] = {
                "host": f"host-{entry.name}",
                "hall": entry.hall,
                "peer": f"{LOOPBACK}:{entry.peer_port}",
            }
        operators = {"ops": {"token_hash": hash_text(operator_token("ops"))}}
        return {
            "operators": operators,
            **self.document,
            "endpoints": endpoints,
            "entries": entries,
        }
