"""Hold the connections to the agents of endpoints, and the state of their pools."""

from leadford.common import EndpointId
from leadford.pipelines.config import EndpointConfig
from leadford.pipelines.ejection import OutlierEjector
from leadford.pipelines.routing import EndpointView, RoutingPolicy
from leadford_server.peers import Dialer, PeerConnection


class EndpointLink:
    """Join the connection to an agent with what is known of its endpoint."""

    def __init__(
        self, *, config: EndpointConfig, view: EndpointView, dialer: Dialer
    ) -> None:
        self.config = config
        self.view = view
        self.dialer = dialer
        self.announced_draining_ = False

    @property
    def peer(self) -> PeerConnection | None:
        """Return the connection while it is open."""
        return self.dialer.peer

    @property
    def is_draining(self) -> bool:
        """Tell whether the agent or the configuration says that it drains."""
        return self.announced_draining_ or self.config.draining

    def record_connected(self) -> None:
        """Reset what an earlier connection reported or carried."""
        self.announced_draining_ = False
        self.view.outstanding_ = 0
        self.view.outstanding_tokens_ = 0
        self.view.unreported_ = 0


class EndpointPool:
    """Hold the links, the routing policy and the ejector of one pool."""

    def __init__(self, *, policy: RoutingPolicy, ejector: OutlierEjector) -> None:
        self.policy = policy
        self.ejector = ejector
        self.links_by_id_: dict[EndpointId, EndpointLink] = {}
