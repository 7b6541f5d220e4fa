"""Make the agent processes of the own interface that tests look into."""

from random import Random

from leadford.common import PoolKind
from leadford.pipelines.config import EndpointConfig, FleetConfig, PoolConfig
from leadford_server.pipelines.agent import AgentProcess
from leadford_server.settings import AgentSettings, SocketAddress

ANY_PORT = SocketAddress("127.0.0.1", 0)
SECRET = b"secret"
CONFIG = FleetConfig(
    pools={"p": PoolConfig(kind=PoolKind.ENCODER)},
    endpoints={
        "e": EndpointConfig(
            pool="p", host="h", hall="h", agent="127.0.0.1:1", url="http://127.0.0.1:9"
        )
    },
)


def make_agent_process():
    """Return an agent that has not started and whose store does not answer."""
    settings = AgentSettings(
        endpoint_id="e",
        host_id="h",
        hall="h",
        peer=ANY_PORT,
        metrics=ANY_PORT,
        endpoint_url="http://127.0.0.1:9",
        store="http://127.0.0.1:9",
        secret=SECRET,
    )
    return AgentProcess(settings=settings, rng=Random(1))
