"""Turn frames of messages into CBOR and back.

A frame carries the sender's configuration version and every message that was
waiting to be sent, so the cost of a frame is shared by its messages.
"""

from collections.abc import Sequence

import cbor2
import msgspec
from returns.result import Failure, Result, Success

from leadford.protocol._messages import Message

_CBOR_TYPES = (bytes,)


class ProtocolError(Exception):
    """Tell that a frame is not made of messages of this protocol."""


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Hold the messages sent together and the sender's configuration version."""

    config_version: int
    messages: list[Message]


def encode(config_version: int, messages: Sequence[Message]) -> bytes:
    """Return messages as one CBOR frame."""
    frame = Frame(config_version, list(messages))
    return cbor2.dumps(msgspec.to_builtins(frame, builtin_types=_CBOR_TYPES))


def decode(data: bytes | str) -> Result[Frame, ProtocolError]:
    """Return the frame in received data.

    Errors: data that is text, truncated, of unknown type or of wrong shape.
    """
    if isinstance(data, str):
        return Failure(ProtocolError("text where CBOR was expected"))
    try:
        value = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return Failure(ProtocolError(f"not CBOR: {error}"))
    try:
        return Success(msgspec.convert(value, Frame, builtin_types=_CBOR_TYPES))
    except msgspec.ValidationError as error:
        return Failure(ProtocolError(f"not a known message: {error}"))
