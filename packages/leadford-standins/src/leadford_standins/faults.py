"""Hold the faults that a stand-in injects, set through its control page.

Shared by the stand-ins that run as processes of a loopback fleet (`fleet`). Those of
the platform's wire (`wire`) run inside the test and are told directly.
"""

import asyncio

import msgspec
from tornado import web


class Faults(msgspec.Struct, kw_only=True):
    """Hold the faults in force at one stand-in.

    An endpoint ends under each call whose input holds `ends_on`, if that is set.

    Units: delay_ms is added to each answer; speed multiplies service speed.
    """

    down: bool = False
    frozen: bool = False
    delay_ms: float = 0.0
    speed: float = 1.0
    error_rate: float = 0.0
    lose_answers: int = 0
    swap_answers: int = 0
    ends_on: str = ""


class FaultState:
    """Keep the faults in force and let waiting calls notice a change."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.changed_ = asyncio.Event()

    def set(self, faults: Faults) -> None:
        """Put faults in force."""
        self.faults = faults
        self.changed_.set()
        self.changed_ = asyncio.Event()

    async def hold(self) -> None:
        """Wait as long as the stand-in is frozen, then for the added delay."""
        while self.faults.frozen:
            await self.changed_.wait()
        if self.faults.delay_ms > 0:
            await asyncio.sleep(self.faults.delay_ms / 1000.0)

    def take_lost_answer(self) -> bool:
        """Tell whether this answer is to be lost, and count it."""
        if self.faults.lose_answers <= 0:
            return False
        self.faults.lose_answers -= 1
        return True


class ControlHandler(web.RequestHandler):
    """Read and set faults."""

    def initialize(self, state: FaultState) -> None:
        """Store what the handler works on."""
        self.state = state

    def get(self) -> None:
        """Answer with the faults in force."""
        self.finish(msgspec.json.encode(self.state.faults))

    def post(self) -> None:
        """Put the posted faults in force; what is left out is reset."""
        try:
            faults = msgspec.json.decode(self.request.body, type=Faults)
        except msgspec.MsgspecError as error:
            raise web.HTTPError(400, str(error)) from error
        self.state.set(faults)
        self.finish(b"{}")


class FaultyHandler(web.RequestHandler):
    """Serve calls that the faults in force may stop, delay or fail."""

    def initialize(self, state: FaultState) -> None:
        """Store what the handler works on."""
        self.state = state

    async def prepare(self) -> None:
        """Drop or hold the call as the faults say."""
        if self.state.faults.down:
            self.drop()
            return
        await self.state.hold()

    def drop(self) -> None:
        """Close the connection without an answer."""
        self._finished = True
        self.request.connection.stream.close()

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer an error with its text."""
        self.finish({"error": self._reason})
