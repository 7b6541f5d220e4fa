"""Know the endpoints that this entry may use and hold the connections to them.

Owns the view of each endpoint that the routing reads, and the ejector of each pool. It
follows the configuration, load reports, drains and lost connections; which of the
candidates is asked is decided by the routing policy (`_sending`).
"""

from collections.abc import Callable
from random import Random

from leadford.common import EndpointId, HallId, HostId, PoolId
from leadford.events import Event
from leadford.pipelines.config import EndpointConfig, FleetConfig
from leadford.pipelines.ejection import EndpointState, OutlierEjector
from leadford.pipelines.membership import HallMonitor, HostTable, choose_subset
from leadford.pipelines.routing import (
    ClassWait,
    EndpointView,
    LoadReport,
    routing_policies,
)
from leadford.protocol import Load
from leadford_server.logs import EventLog
from leadford_server.pipelines.entry._dialers import DialerFactory
from leadford_server.pipelines.entry._endpoint_links import EndpointLink, EndpointPool

# Latency to another data hall, one way.
OTHER_HALL_MS = 0.5
# Fraction of choices that probe an endpoint under probation while others are available.
PROBE_FRACTION = 0.2

_EVENT_BY_STATE = {
    EndpointState.EJECTED: Event.ENDPOINT_EJECTED,
    EndpointState.PROBING: Event.ENDPOINT_PROBING,
    EndpointState.ACTIVE: Event.ENDPOINT_RESTORED,
}


class EndpointDirectory:
    """Hold a bounded subset of each pool's endpoints, as the configuration says."""

    def __init__(
        self,
        *,
        node_id: str,
        hall: HallId,
        dialers: DialerFactory,
        log: EventLog,
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self.node_id = node_id
        self.hall = hall
        self.dialers = dialers
        self.log = log
        self.random = random
        self.clock = clock
        self.config_ = FleetConfig()
        self.pools_by_id_: dict[PoolId, EndpointPool] = {}
        self.links_by_id_: dict[EndpointId, EndpointLink] = {}
        self.extra_links_by_id_: dict[EndpointId, EndpointLink] = {}
        self.hosts_ = HostTable()
        self.halls_ = HallMonitor(own_hall=hall)
        self.started_ = False

    def apply_config(self, config: FleetConfig) -> None:
        """Apply a configuration: change subsets, policies and connections."""
        self.config_ = config
        wanted: dict[EndpointId, EndpointConfig] = {}
        for pool_id, pool_config in config.pools.items():
            name = pool_config.routing or config.tuning.routing
            policy_class = routing_policies.get(name)
            pool = self.pools_by_id_.get(pool_id)
            if pool is None:
                pool = EndpointPool(
                    policy=policy_class.from_config(random=self.random),
                    ejector=OutlierEjector(random=self.random),
                )
                self.pools_by_id_[pool_id] = pool
            if not isinstance(pool.policy, policy_class):
                pool.policy = policy_class.from_config(random=self.random)
            pool.ejector.cap = config.tuning.ejection_cap
            wanted.update(self._subset(config, pool_id))
        for pool_id in set(self.pools_by_id_) - set(config.pools):
            del self.pools_by_id_[pool_id]
        self._change_links(wanted)
        self.halls_.set_members({i: HallId(c.hall) for i, c in wanted.items()})
        self.started_ = True

    def _subset(
        self, config: FleetConfig, pool_id: PoolId
    ) -> dict[EndpointId, EndpointConfig]:
        halls: dict[EndpointId, HallId] = {}
        for endpoint_id, endpoint in config.endpoints.items():
            if endpoint.pool == pool_id:
                halls[EndpointId(endpoint_id)] = HallId(endpoint.hall)
        chosen = choose_subset(
            self.node_id, halls, hall=self.hall, size=config.tuning.subset_size
        )
        return {endpoint_id: config.endpoints[endpoint_id] for endpoint_id in chosen}

    def _change_links(self, wanted: dict[EndpointId, EndpointConfig]) -> None:
        for endpoint_id, link in list(self.links_by_id_.items()):
            config = wanted.get(endpoint_id)
            if config is not None and config.agent == link.config.agent:
                link.config = config
                continue
            del self.links_by_id_[endpoint_id]
            self.extra_links_by_id_[endpoint_id] = link
        for endpoint_id, config in wanted.items():
            if endpoint_id not in self.links_by_id_:
                extra = self.extra_links_by_id_.pop(endpoint_id, None)
                same = extra is not None and extra.config.agent == config.agent
                link = extra if same else self._make_link(endpoint_id, config)
                self.links_by_id_[endpoint_id] = link
        for pool_id, pool in self.pools_by_id_.items():
            pool.links_by_id_ = {
                endpoint_id: link
                for endpoint_id, link in self.links_by_id_.items()
                if link.config.pool == pool_id
            }
            pool.ejector.retain(set(pool.links_by_id_))

    def _make_link(
        self, endpoint_id: EndpointId, config: EndpointConfig
    ) -> EndpointLink:
        pool = self.config_.pools[config.pool]
        near = config.hall == self.hall
        view = EndpointView(
            endpoint_id=endpoint_id,
            hall=HallId(config.hall),
            concurrency=pool.concurrency,
            distance_ms=0.0 if near else OTHER_HALL_MS,
            # Endpoints listed when the process starts count as warm.
            joined_at_s=self.clock() if self.started_ else float("-inf"),
            models=config.models,
        )
        dialer = self.dialers.make(
            config.agent, lambda: self.record_unreachable(endpoint_id)
        )
        return EndpointLink(config=config, view=view, dialer=dialer)

    def link(self, endpoint_id: EndpointId) -> EndpointLink | None:
        """Return the link to a configured endpoint; connect to it if there is none."""
        link = self._known_link(endpoint_id)
        if link is not None:
            return link
        config = self.config_.endpoints.get(endpoint_id)
        if config is None:
            return None
        link = self._make_link(endpoint_id, config)
        self.extra_links_by_id_[endpoint_id] = link
        return link

    def _known_link(self, endpoint_id: EndpointId) -> EndpointLink | None:
        link = self.links_by_id_.get(endpoint_id)
        return link or self.extra_links_by_id_.get(endpoint_id)

    def pool(self, pool_id: str) -> EndpointPool | None:
        """Return a pool."""
        return self.pools_by_id_.get(PoolId(pool_id))

    def candidates(
        self, pool_id: str, exclude: set[EndpointId], model: str = ""
    ) -> list[EndpointView]:
        """Return the endpoints of a pool that may get new work now."""
        pool = self.pools_by_id_.get(PoolId(pool_id))
        if pool is None:
            return []
        now = self.clock()
        admitted: list[EndpointView] = []
        probing: list[EndpointView] = []
        lost: list[EndpointView] = []
        for endpoint_id, link in pool.links_by_id_.items():
            if endpoint_id in exclude or not self._is_usable(link, model):
                continue
            if self.halls_.is_lost(link.view.hall, now):
                lost.append(link.view)
                continue
            if not pool.ejector.admits(endpoint_id, now):
                continue
            if pool.ejector.state(endpoint_id) is EndpointState.PROBING:
                probing.append(link.view)
                continue
            admitted.append(link.view)
        # An ordinary request serves as the probe, and only a fraction of them do.
        if probing and (not admitted or self.random.random() < PROBE_FRACTION):
            return probing
        return admitted or lost

    def _is_usable(self, link: EndpointLink, model: str) -> bool:
        if link.peer is None or link.is_draining:
            return False
        if model and not link.view.serves(model):
            return False
        return not self.hosts_.is_leaving(HostId(link.config.host))

    def state_text(self, link: EndpointLink) -> str:
        """Return the state of an endpoint as operators read it."""
        if link.peer is None:
            return "unreachable"
        if link.is_draining:
            return "draining"
        if self.hosts_.is_leaving(HostId(link.config.host)):
            return "leaving"
        if self.halls_.is_lost(link.view.hall, self.clock()):
            return "hall lost"
        pool = self.pools_by_id_[PoolId(link.config.pool)]
        return pool.ejector.state(link.view.endpoint_id).value

    def record_load(self, endpoint_id: EndpointId, load: Load) -> None:
        """Record a load report."""
        link = self._known_link(endpoint_id)
        if link is None:
            return
        link.view.held_models_ = tuple((m.model, m.version) for m in load.models)
        link.view.record_report(
            LoadReport(
                at_s=self.clock(),
                queued=load.queued,
                running=load.running,
                tokens_in_flight=load.tokens_in_flight,
                service_ms=load.service_ms,
                token_ms=load.token_ms,
                concurrency=load.concurrency,
                classes=tuple(
                    ClassWait(waiting.priority, waiting.ahead_ms)
                    for waiting in load.classes
                ),
            )
        )

    def record_draining(self, endpoint_id: EndpointId, draining: bool) -> None:
        """Record that an agent announced or withdrew a drain."""
        link = self.links_by_id_.get(endpoint_id)
        if link is None or link.announced_draining_ == draining:
            return
        link.announced_draining_ = draining
        if draining:
            self.log.report(Event.ENDPOINT_DRAINING, endpoint=endpoint_id)

    def record_reached(self, endpoint_id: EndpointId) -> None:
        """Record that an endpoint was connected."""
        self.halls_.record_reached(endpoint_id)
        link = self.links_by_id_.get(endpoint_id)
        if link is None:
            return
        link.record_connected()

    def record_unreachable(self, endpoint_id: EndpointId) -> None:
        """Record that a connection was lost or failed."""
        hall = self.halls_.record_unreachable(endpoint_id, self.clock())
        if hall is not None:
            self.log.report(Event.HALL_LOST, hall=hall)

    def report_ejections(self, pool_id: str) -> None:
        """Log what the ejector of a pool did."""
        pool = self.pools_by_id_.get(PoolId(pool_id))
        if pool is None:
            return
        for event in pool.ejector.take_events():
            self.log.report(
                _EVENT_BY_STATE[event.state],
                endpoint=event.endpoint_id,
                reason=event.reason,
            )

    async def stop(self) -> None:
        """Close every connection."""
        for link in [*self.links_by_id_.values(), *self.extra_links_by_id_.values()]:
            await link.dialer.stop()
