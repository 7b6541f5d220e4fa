"""Define the stored form of a configuration: a head and immutable chunks.

The head holds the key of every chunk and the latest audit records, so one conditional
update of the head stores a change together with its record. Workspaces are distributed
over many chunks by a hash of their id, so changing one workspace rewrites one chunk.
"""

from hashlib import blake2b
from typing import Any

import cbor2
import msgspec
from returns.result import Failure, Result, Success

from leadford.common import stable_hash
from leadford.pipelines.config._check import ConfigFault, check_config
from leadford.pipelines.config._model import FleetConfig, WorkspaceConfig

# Chunks that the workspaces are distributed over; part of the stored form.
WORKSPACE_CHUNK_COUNT = 64
# Audit records in a head; beyond this the oldest are dropped.
MAX_AUDIT_RECORDS = 200
BASE_CHUNK_NAME = "base"


class ChunkDelta(msgspec.Struct, frozen=True, array_like=True):
    """Record the keys of one chunk before and after; an empty key means no chunk."""

    name: str
    before: str
    after: str


class AuditRecord(msgspec.Struct, frozen=True, array_like=True):
    """Record who changed the configuration, when and how.

    Units: at_s is seconds of Unix time.
    """

    version: int
    from_version: int
    command_id: str
    operator: str
    at_s: float
    command: str
    deltas: tuple[ChunkDelta, ...]


class ConfigHead(msgspec.Struct, frozen=True, array_like=True):
    """Hold the chunk keys and the audit records of one configuration version."""

    version: int
    keys_by_chunk: dict[str, str]
    audit: tuple[AuditRecord, ...] = ()


class ConfigChunk(msgspec.Struct, frozen=True):
    """Hold one encoded chunk, its name and the key it is stored under."""

    name: str
    key: str
    data: bytes


def chunk_digest(data: bytes) -> str:
    """Return the digest that a chunk's key ends with."""
    return blake2b(data, digest_size=16).hexdigest()


def digest_of_key(key: str) -> str:
    """Return the digest in a chunk's key."""
    return key.rpartition("-")[2]


def _encode_chunk(name: str, value: Any, version: int) -> ConfigChunk:
    data = cbor2.dumps(msgspec.to_builtins(value), canonical=True)
    # The key includes the version so that a late removal of an old chunk cannot delete
    # a new chunk with the same content.
    return ConfigChunk(name, f"{version}-{chunk_digest(data)}", data)


def split(config: FleetConfig, version: int = 1) -> dict[str, ConfigChunk]:
    """Encode a configuration as chunks by name, with keys that include the version."""
    chunks_by_name: dict[str, ConfigChunk] = {}
    base = msgspec.structs.replace(config, workspaces={})
    chunks_by_name[BASE_CHUNK_NAME] = _encode_chunk(BASE_CHUNK_NAME, base, version)
    workspaces_by_chunk: dict[str, dict[str, WorkspaceConfig]] = {}
    for name, workspace in config.workspaces.items():
        chunk_name = f"workspaces-{stable_hash(name) % WORKSPACE_CHUNK_COUNT:02d}"
        workspaces_by_chunk.setdefault(chunk_name, {})[name] = workspace
    for chunk_name, workspaces in workspaces_by_chunk.items():
        chunks_by_name[chunk_name] = _encode_chunk(chunk_name, workspaces, version)
    return chunks_by_name


def assemble(
    head: ConfigHead, data_by_key: dict[str, bytes]
) -> Result[FleetConfig, ConfigFault]:
    """Build the configuration from the chunks that a head refers to.

    Errors: a chunk that is missing, corrupt or not readable by this process, or the
    first fault of the assembled configuration.
    """
    workspaces: dict[str, WorkspaceConfig] = {}
    base: FleetConfig | None = None
    for name, key in sorted(head.keys_by_chunk.items()):
        data = data_by_key.get(key)
        if data is None:
            return Failure(ConfigFault(f"chunk {name}", "missing"))
        if chunk_digest(data) != digest_of_key(key):
            return Failure(ConfigFault(f"chunk {name}", "digest does not match"))
        chunk_type = (
            FleetConfig if name == BASE_CHUNK_NAME else dict[str, WorkspaceConfig]
        )
        try:
            part = msgspec.convert(cbor2.loads(data), chunk_type)
        except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
            return Failure(ConfigFault(f"chunk {name}", str(error)))
        if name == BASE_CHUNK_NAME:
            base = part
            continue
        workspaces.update(part)
    if base is None:
        return Failure(ConfigFault(f"chunk {BASE_CHUNK_NAME}", "missing"))
    config = msgspec.structs.replace(base, workspaces=workspaces)
    faults = check_config(config)
    if faults:
        return Failure(faults[0])
    return Success(config)


def encode_head(head: ConfigHead) -> bytes:
    """Encode a head for the store."""
    return cbor2.dumps(msgspec.to_builtins(head))


def decode_head(data: bytes) -> Result[ConfigHead, ConfigFault]:
    """Decode a stored head.

    Errors: data that is not a valid head.
    """
    try:
        return Success(msgspec.convert(cbor2.loads(data), ConfigHead))
    except (cbor2.CBORDecodeError, ValueError, msgspec.ValidationError) as error:
        return Failure(ConfigFault("head", str(error)))


class ConfigTracker:
    """Hold the newest configuration that this process could read; never go back."""

    def __init__(self) -> None:
        self.head_: ConfigHead | None = None
        self.config_: FleetConfig | None = None
        self.data_by_key_: dict[str, bytes] = {}
        self.unread_version_ = 0

    @property
    def version(self) -> int:
        """Return the version in force in this process, 0 before the first."""
        return self.head_.version if self.head_ is not None else 0

    def is_newer(self, version: int) -> bool:
        """Return whether a version is newer than the one in force."""
        return version > self.version

    def missing_keys(self, head: ConfigHead) -> list[str]:
        """Return the keys of the chunks to fetch before a head can be adopted."""
        required_keys = set(head.keys_by_chunk.values())
        return sorted(required_keys - set(self.data_by_key_))

    def offer(
        self, head: ConfigHead, fetched_by_key: dict[str, bytes]
    ) -> Result[FleetConfig, ConfigFault]:
        """Adopt a head and its chunks if the version is newer and readable.

        Errors: a version that is not newer, or one that cannot be read; the version in
        force then stays in force.
        """
        if not self.is_newer(head.version):
            return Failure(ConfigFault("head", f"version {head.version} is not newer"))
        data_by_key = {**self.data_by_key_, **fetched_by_key}
        result = assemble(head, data_by_key)
        if isinstance(result, Failure):
            self.unread_version_ = head.version
            return result
        self.head_ = head
        self.config_ = result.unwrap()
        self.unread_version_ = 0
        required_keys = set(head.keys_by_chunk.values())
        self.data_by_key_ = {key: data_by_key[key] for key in required_keys}
        return result
