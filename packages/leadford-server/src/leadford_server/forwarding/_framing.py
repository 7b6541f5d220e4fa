"""Write HTTP/1 messages, and measure the heads of those that arrive.

Writing is shared by the connections to callers and to endpoints.
"""

import asyncio
import fcntl
import select
import struct
import termios

from tornado import httputil
from tornado.http1connection import HTTP1Connection
from tornado.iostream import IOStream

# Larger bodies are not joined with their head, which would copy them.
MAX_JOINED_BODY_BYTES = 64 * 1024
# Bytes of a header line besides its name and value: ": " and CRLF.
HEADER_LINE_OVERHEAD_BYTES = 4


def write_head(
    connection: HTTP1Connection,
    start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
    headers: httputil.HTTPHeaders,
    body: bytes,
) -> None:
    """Write a head and the body, if there is one, to a connection."""
    is_joined = len(body) <= MAX_JOINED_BODY_BYTES
    stream = connection.stream
    if not all(str(part).isascii() for part in start_line):
        connection.stream = _StartLineRestorer(stream)
    try:
        connection.write_headers(start_line, headers, body if is_joined else None)
    finally:
        connection.stream = stream
    if not is_joined:
        connection.write(body)


class _StartLineRestorer:
    """Write a head with the bytes of its start line as they were read.

    Tornado reads each byte of a head as one character, but writes the start line as
    UTF-8.
    """

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream

    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self.stream.closed()

    def write(self, data: bytes) -> asyncio.Future[None]:
        """Write a head, and maybe the body after it."""
        line, end, rest = data.partition(b"\r\n")
        return self.stream.write(line.decode("utf-8").encode("latin-1") + end + rest)


def head_bytes(
    start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> int:
    """Return the size of the head of a request."""
    total = len(start_line.method) + len(start_line.path) + len(start_line.version)
    for name, value in headers.get_all():
        total += len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
    return total


def announced_bytes(headers: httputil.HTTPHeaders) -> int:
    """Return the announced length of the body, 0 if it is missing or malformed.

    The reader of the body handles a malformed length.
    """
    text = headers.get("Content-Length", "0")
    return int(text) if text.isascii() and text.isdigit() else 0


def unsent_bytes(stream: IOStream | None) -> int:
    """Return how many bytes are written to a connection but not sent."""
    if stream is None or stream.closed() or not stream.writing():
        return 0
    # The public interface of tornado tells only whether this buffer is empty.
    return len(stream._write_buffer)


def written_bytes(stream: IOStream) -> int:
    """Return how many bytes were ever written to a connection, sent or not."""
    # The public interface of tornado tells neither of these two counts.
    return stream._total_write_index


def unsent_bytes_until(stream: IOStream, written: int) -> int:
    """Return how many of the first `written` bytes of a connection are not sent."""
    if stream.closed():
        return 0
    return max(0, written - stream._total_write_done_index)


def is_readable(stream: IOStream) -> bool:
    """Return whether a connection has bytes, or its end, that were not received yet."""
    return _polls(stream, select.POLLIN)


def is_writable(stream: IOStream) -> bool:
    """Return whether the kernel accepts more bytes to be sent."""
    return _polls(stream, select.POLLOUT)


def _polls(stream: IOStream, events: int) -> bool:
    poll = select.poll()
    poll.register(stream.fileno(), events)
    return bool(poll.poll(0))


def queued_bytes(stream: IOStream) -> int:
    """Return how many bytes the kernel holds that the other side did not receive.

    0 if the kernel does not tell.
    """
    count = bytearray(struct.calcsize("i"))
    try:
        fcntl.ioctl(stream.fileno(), termios.TIOCOUTQ, count)
    except OSError:
        return 0
    return struct.unpack("i", count)[0]


def has_partial_message(stream: IOStream) -> bool:
    """Return whether a part of a message was received that is not handled yet."""
    return stream._read_buffer_size > 0
