"""Define the forms of bytes without end that a test lets an endpoint send.

`EndpointHandler` sends one to each request for which a test queued it.
"""

import msgspec

from leadford_standins.wire._misbehaviours import Misbehaviour

# What is sent at once at full speed.
PIECE_BYTES = 64 * 1024
# Pause between the pieces of a trickle.
TRICKLE_S = 0.02

CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = "\r\n"


class EndlessBytes(msgspec.Struct, frozen=True):
    """Describe an answer without end: its start, then the same piece again and again.

    `end` completes the head after its usual fields; without it the head has no end.

    Units: pause_s between two pieces, in seconds.
    """

    piece: bytes
    status: str = "200 OK"
    end: str | None = CHUNKED
    pause_s: float = 0.0

    @property
    def is_refusal(self) -> bool:
        """Return whether the head says that the request did not run."""
        return self.status.startswith("503")

    def head(self, fields: str) -> bytes:
        """Return the start of the answer with these fields."""
        return f"HTTP/1.1 {self.status}\r\n{fields}{self.end or ''}".encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _repeated(data: bytes) -> bytes:
    return data * (PIECE_BYTES // len(data))


ENDLESS_BY_MISBEHAVIOUR = {
    Misbehaviour.ENDLESS_LINE_ENDS: EndlessBytes(_chunk(_repeated(b"\n"))),
    Misbehaviour.ENDLESS_COMMENTS: EndlessBytes(_chunk(_repeated(b": c\n\n"))),
    Misbehaviour.ENDLESS_OLD_EVENTS: EndlessBytes(
        _chunk(_repeated(b"id: 1\ndata: token 1\n\n"))
    ),
    Misbehaviour.ENDLESS_LINE: EndlessBytes(_chunk(_repeated(b"x"))),
    Misbehaviour.TRICKLED_COMMENTS: EndlessBytes(_chunk(b": c\n\n"), pause_s=TRICKLE_S),
    Misbehaviour.TRICKLED_LETTERS: EndlessBytes(_chunk(b"xx"), pause_s=TRICKLE_S),
    Misbehaviour.TRICKLED_OLD_EVENTS: EndlessBytes(
        _chunk(b"id: 1\ndata: token 1\n\n"), pause_s=TRICKLE_S
    ),
    Misbehaviour.ENDLESS_TINY_CHUNKS: EndlessBytes(_repeated(_chunk(b"x"))),
    Misbehaviour.ENDLESS_UNFRAMED: EndlessBytes(_repeated(b"x"), end=UNFRAMED),
    Misbehaviour.ENDLESS_REFUSAL: EndlessBytes(
        _chunk(_repeated(b"x")), status="503 Full"
    ),
    Misbehaviour.TRICKLED_REFUSAL: EndlessBytes(
        _chunk(b"x"), status="503 Full", pause_s=TRICKLE_S
    ),
    Misbehaviour.TRICKLED_ERROR: EndlessBytes(
        _chunk(b"x"), status="500 Failed", pause_s=TRICKLE_S
    ),
    Misbehaviour.ENDLESS_HEAD: EndlessBytes(_repeated(b"X-More: 1\r\n"), end=None),
    Misbehaviour.ENDLESS_INTERIM_HEADS: EndlessBytes(
        _repeated(b"HTTP/1.1 100 Continue\r\n\r\n"), status="100 Continue", end="\r\n"
    ),
    Misbehaviour.ENDLESS_CHUNK_EXTENSION: EndlessBytes(
        _repeated(b"x"), end=CHUNKED + "1;a="
    ),
    Misbehaviour.ENDLESS_TRAILERS: EndlessBytes(
        _repeated(b"X-More: 1\r\n"), end=CHUNKED + "1\r\nx\r\n0\r\n"
    ),
}
