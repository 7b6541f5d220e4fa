"""Define and check the settings of each role of leadford's own interface.

Reports all faults of the settings at once, each with its flag and variable. The
forwarding entry uses `SocketAddress` too; the platform's adapter reads its settings.
"""

import ipaddress
import re
from collections.abc import Callable

import msgspec
from absl.logging import converter
from returns.result import Failure, Result, Success

# Minimum length of the secret of a fleet.
SECRET_BYTES_MIN = 16
NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9_.-]{0,62}$")
URL_PATTERN = re.compile(r"^http://[0-9.\[\]:a-fA-F]+$")


class SettingFault(msgspec.Struct, frozen=True):
    """Describe one fault of the settings."""

    name: str
    message: str

    def __str__(self) -> str:
        flag = "--" + self.name.replace("_", "-")
        return f"{flag} (LEADFORD_{self.name.upper()}): {self.message}"


class SocketAddress(msgspec.Struct, frozen=True):
    """Hold an IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Result["SocketAddress", str]:
        """Parse an address such as 127.0.0.1:8000."""
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        try:
            ipaddress.ip_address(host)
        except ValueError:
            return Failure(f"expected an IP number and port, got {text!r}")
        if not port.isdigit() or int(port) > 65535:
            return Failure(f"expected a port from 0 to 65535, got {port!r}")
        return Success(cls(host, int(port)))


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the checked settings of an entry."""

    entry_id: str
    host_id: str
    hall: str
    http: SocketAddress
    peer: SocketAddress
    store: str
    secret: bytes
    seeds: tuple[SocketAddress, ...] = ()
    hosts_url: str = ""
    verbosity: str = "info"


class AgentSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the checked settings of an agent."""

    endpoint_id: str
    host_id: str
    hall: str
    peer: SocketAddress
    metrics: SocketAddress
    endpoint_url: str
    store: str
    secret: bytes
    verbosity: str = "info"


class _Checker:
    """Convert settings to values and collect their faults."""

    def __init__(self) -> None:
        self.faults_: list[SettingFault] = []

    def name(self, name: str, value: str) -> str:
        """Check the name of a process, host or hall."""
        if not NAME_PATTERN.match(value):
            message = f"expected lower-case letters, digits, _.- , got {value!r}"
            self.faults_.append(SettingFault(name, message))
        return value

    def address(self, name: str, value: str) -> SocketAddress:
        """Parse an address; return port 0 for an invalid one, on which `done` fails."""
        parsed = SocketAddress.parse(value)
        if isinstance(parsed, Failure):
            self.faults_.append(SettingFault(name, parsed.failure()))
            return SocketAddress("0.0.0.0", 0)
        return parsed.unwrap()

    def url(self, name: str, value: str) -> str:
        """Check a URL and return it without trailing slashes."""
        if not URL_PATTERN.match(value.rstrip("/")):
            message = f"expected http://IP:PORT, got {value!r}"
            self.faults_.append(SettingFault(name, message))
        return value.rstrip("/")

    def secret(self, name: str, value: str) -> bytes:
        """Check that a secret is long enough."""
        if len(value.encode()) < SECRET_BYTES_MIN:
            message = f"expected at least {SECRET_BYTES_MIN} bytes"
            self.faults_.append(SettingFault(name, message))
        return value.encode()

    def verbosity(self, name: str, value: str) -> str:
        """Check that a verbosity is known to the log."""
        if value.upper() not in converter.ABSL_NAMES:
            message = f"expected info, warning or error, got {value!r}"
            self.faults_.append(SettingFault(name, message))
        return value

    def done(self, build: Callable[[], object]) -> Result:
        """Return the settings, or the collected faults if there are any."""
        if self.faults_:
            return Failure(tuple(self.faults_))
        return Success(build())


def check_entry_settings(
    *,
    entry_id: str,
    host_id: str,
    hall: str,
    http: str,
    peer: str,
    store: str,
    secret: str,
    seeds: str,
    hosts_url: str,
    verbosity: str,
) -> Result[EntrySettings, tuple[SettingFault, ...]]:
    """Return the checked settings of an entry, or all their faults."""
    checker = _Checker()
    seed_texts = [text for text in seeds.split(",") if text]
    settings = EntrySettings(
        entry_id=checker.name("entry_id", entry_id),
        host_id=checker.name("host_id", host_id),
        hall=checker.name("hall", hall),
        http=checker.address("http", http),
        peer=checker.address("peer", peer),
        store=checker.url("store", store),
        secret=checker.secret("secret", secret),
        seeds=tuple(checker.address("seeds", text) for text in seed_texts),
        hosts_url=checker.url("hosts_url", hosts_url) if hosts_url else "",
        verbosity=checker.verbosity("verbosity", verbosity),
    )
    return checker.done(lambda: settings)


def check_agent_settings(
    *,
    endpoint_id: str,
    host_id: str,
    hall: str,
    peer: str,
    metrics: str,
    endpoint_url: str,
    store: str,
    secret: str,
    verbosity: str,
) -> Result[AgentSettings, tuple[SettingFault, ...]]:
    """Return the checked settings of an agent, or all their faults."""
    checker = _Checker()
    settings = AgentSettings(
        endpoint_id=checker.name("endpoint_id", endpoint_id),
        host_id=checker.name("host_id", host_id),
        hall=checker.name("hall", hall),
        peer=checker.address("peer", peer),
        metrics=checker.address("metrics", metrics),
        endpoint_url=checker.url("endpoint_url", endpoint_url),
        store=checker.url("store", store),
        secret=checker.secret("secret", secret),
        verbosity=checker.verbosity("verbosity", verbosity),
    )
    return checker.done(lambda: settings)
