"""Cut a configuration into parts that travel between entries, and join them again.

Each part is small enough that heartbeats and pieces on the same link do not wait for
long behind it, and a transfer can tell that it makes progress. Both ends keep a version
until it is through, whatever comes in force meanwhile: in a series of changes an entry
with a slow link would otherwise begin anew with each of them.
"""

import msgspec
from returns.result import Result, Success

from leadford.common import pack, unpack
from leadford.forwarding.routes._model import ForwardConfig

# Bytes of a part: 26 ms on a link of 10 Mbit/s, worked out.
PART_BYTES = 32 * 1024
# Versions that are kept ready for peers that have begun to fetch them.
VERSIONS_KEPT = 3


class ConfigPart(msgspec.Struct, frozen=True):
    """Hold a part of a configuration.

    Units: offset and total in bytes of the compressed configuration.
    """

    version: int
    total: int
    offset: int
    data: bytes


class ConfigParts:
    """Keep the newest configurations ready to be sent in parts."""

    def __init__(self) -> None:
        self.data_by_version_: dict[int, bytes] = {}

    def part(self, config: ForwardConfig, version: int, offset: int) -> ConfigPart:
        """Return a part of a version that is kept, or else the first of the newest."""
        if version != config.version and version not in self.data_by_version_:
            version = config.version
            offset = 0
        data = self._data(config, version)
        end = offset + PART_BYTES
        return ConfigPart(version, len(data), offset, data[offset:end])

    def _data(self, config: ForwardConfig, version: int) -> bytes:
        """Return a version as it travels, made when it is first asked for."""
        data = self.data_by_version_.get(version)
        if data is None:
            data = pack(config)
            self.data_by_version_[version] = data
            for old in sorted(self.data_by_version_)[:-VERSIONS_KEPT]:
                del self.data_by_version_[old]
        return data


class ConfigDownload:
    """Join the parts of one version, whichever peers send them.

    What has come stays until it is whole or can't be used, so that an answer that
    comes late, after another peer was asked, is not lost.
    """

    def __init__(self) -> None:
        self.version_ = 0
        self.total_ = 0
        self.data_ = bytearray()

    @property
    def offset(self) -> int:
        """Return how many bytes have come."""
        return len(self.data_)

    def fits(self, part: ConfigPart) -> bool:
        """Tell whether a part is the next of this version, or begins a newer one."""
        if (part.version, part.total) == (self.version_, self.total_):
            return part.offset == len(self.data_) and bool(part.data)
        return part.version >= self.version_ and part.offset == 0 and bool(part.data)

    def add(self, part: ConfigPart) -> Result[ForwardConfig | None, str]:
        """Add a part that fits; return the configuration once it is whole.

        Errors: what is wrong with a spoiled configuration; nothing of it is kept.
        """
        if (part.version, part.total) != (self.version_, self.total_):
            self.version_ = part.version
            self.total_ = part.total
            self.data_.clear()
        self.data_ += part.data
        if len(self.data_) < self.total_:
            return Success(None)
        data = bytes(self.data_)
        self.clear()
        return unpack(data, ForwardConfig)

    def clear(self) -> None:
        """Forget what has come."""
        self.version_ = 0
        self.total_ = 0
        self.data_.clear()
