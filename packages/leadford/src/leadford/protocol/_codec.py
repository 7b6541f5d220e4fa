"""Encode frames of messages as CBOR, and decode them.

A frame carries the sender's configuration version and every message that was waiting
to be sent, so its messages share the cost of a frame. During an upgrade, processes of
two builds exchange messages: a message that this build does not know, or can no longer
decode, is skipped, and the other messages of the frame are decoded.
"""

from collections.abc import Sequence

import cbor2
import msgspec
from returns.result import Failure, Result, Success

from leadford.protocol._messages import Message

_CBOR_TYPES = (bytes,)


class ProtocolError(Exception):
    """Report that received data is not a frame of this protocol."""


# Longer reasons why a message was skipped are cut off.
SKIP_REASON_MAX_CHARS = 200


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Hold the messages sent together and the sender's configuration version."""

    config_version: int
    messages: list[Message]


class _RawFrame(msgspec.Struct, frozen=True, array_like=True):
    """Hold a frame whose messages are not decoded yet."""

    config_version: int
    messages: list[object]


class ReceivedFrame(msgspec.Struct, frozen=True):
    """Hold the decoded messages, and why each skipped one could not be decoded."""

    config_version: int
    messages: list[Message]
    skipped: tuple[str, ...] = ()


def encode(config_version: int, messages: Sequence[Message]) -> bytes:
    """Return messages as one CBOR frame."""
    frame = Frame(config_version, list(messages))
    return cbor2.dumps(msgspec.to_builtins(frame, builtin_types=_CBOR_TYPES))


def decode(data: bytes | str) -> Result[ReceivedFrame, ProtocolError]:
    """Return the frame in received data, without messages that are unknown here.

    Errors: data that is text, truncated, or not a frame.
    """
    if isinstance(data, str):
        return Failure(ProtocolError("text where CBOR was expected"))
    try:
        value = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return Failure(ProtocolError(f"not CBOR: {error}"))
    try:
        frame = msgspec.convert(value, Frame, builtin_types=_CBOR_TYPES)
    except msgspec.ValidationError:
        # This is rare; usually the whole frame is converted in one step.
        return _decode_one_by_one(value)
    return Success(ReceivedFrame(frame.config_version, frame.messages))


def _decode_one_by_one(value: object) -> Result[ReceivedFrame, ProtocolError]:
    """Return those messages of a frame that can be decoded, and why others cannot."""
    try:
        frame = msgspec.convert(value, _RawFrame, builtin_types=_CBOR_TYPES)
    except msgspec.ValidationError as error:
        return Failure(ProtocolError(f"not a frame: {error}"))
    messages: list[Message] = []
    skipped: list[str] = []
    for raw in frame.messages:
        try:
            message = msgspec.convert(raw, Message, builtin_types=_CBOR_TYPES)
        except msgspec.ValidationError as error:
            skipped.append(str(error)[:SKIP_REASON_MAX_CHARS])
            continue
        messages.append(message)
    return Success(ReceivedFrame(frame.config_version, messages, tuple(skipped)))
