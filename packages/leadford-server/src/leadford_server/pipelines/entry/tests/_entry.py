"""An entry of the own interface with callers, for tests of its planned stop."""

import asyncio
import hashlib
import socket

from leadford.common import Outcome, WorkspaceId
from leadford.pipelines.config import (
    FleetConfig,
    OperatorConfig,
    PipelineConfig,
    StageConfig,
    WorkspaceConfig,
)
from leadford.pipelines.execution import RequestExecution
from leadford_server.pipelines.entry._answers import Answer
from leadford_server.pipelines.entry._body import RequestBody
from leadford_server.pipelines.entry._run import RequestRun
from leadford_server.pipelines.entry.tests.entry_process import make_entry_process

TIMEOUT_S = 20.0
# More than what both kernels hold for a caller that does not read.
RESULT_BYTES = 16 * 1024 * 1024
RECEIVE_BUFFER_BYTES = 4096
KEY = "key"
KEY_HASH = hashlib.sha256(KEY.encode()).hexdigest()
PIPELINE = PipelineConfig(stages=(StageConfig(name="check", pool="p"),))
CONFIG = FleetConfig(
    workspaces={"w": WorkspaceConfig(key_hashes=(KEY_HASH,))},
    operators={"o": OperatorConfig(token_hash=KEY_HASH)},
)
HEADERS = f"Host: entry\r\nAuthorization: Bearer {KEY}\r\n"
READ_UNKNOWN = f"GET /v1/requests/unknown HTTP/1.1\r\n{HEADERS}\r\n".encode()


class Entry:
    """Hold an entry whose reads and statements wait until they are released."""

    def __init__(self):
        self.process = make_entry_process()
        self.released = asyncio.Event()

    async def start(self):
        await self.process.start()
        self.process.follower_.tracker_.config_ = CONFIG
        self.process.services_.config_ = CONFIG
        self.process.services_.workspace_by_key_hash_ = {KEY_HASH: WorkspaceId("w")}
        self.process.entries_.find_note = self._find_note
        ask = self.process.fanout_.ask

        async def ask_later(table, argument=""):
            await self.released.wait()
            return await ask(table, argument)

        self.process.fanout_.ask = ask_later

    async def _find_note(self, request_id):
        await self.released.wait()

    def connect(self):
        (listening,) = self.process.web_._sockets.values()
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.connect(listening.getsockname())
        caller.setblocking(False)
        return caller

    def add_ended_request(self, request_id):
        execution = RequestExecution(
            request_id=request_id,
            pipeline_id="p",
            pipeline=PIPELINE,
            workspace=WorkspaceId("w"),
            deadline_at=60.0,
        )
        run = RequestRun(
            execution=execution,
            body=RequestBody(b"{}", "digest"),
            priority=4,
            keyed=False,
            services=self.process.services_,
        )
        run.answer_.end(Answer(Outcome.COMPLETE, b'"' + b"x" * RESULT_BYTES + b'"'))
        self.process.table_.recent_.add_ended(run)


def play(scenario):
    """Run a scenario with an entry that has started."""

    async def run():
        entry = Entry()
        await entry.start()
        await asyncio.wait_for(scenario(entry), TIMEOUT_S)

    asyncio.run(run())


async def send(caller, data):
    await asyncio.get_running_loop().sock_sendall(caller, data)


async def read_all(caller):
    """Return what arrives until the connection is closed."""
    loop = asyncio.get_running_loop()
    parts = []
    while part := await loop.sock_recv(caller, 1024 * 1024):
        parts.append(part)
    return b"".join(parts)


def status_of(answer):
    return answer.split(b" ", 2)[1:2]
