"""Run the entry of leadford's own interface: its parts, sockets and configuration.

Builds the parts and hands connections and messages to those that want them;
`PlannedStop` ends them. The entry that the users' platform runs is
`leadford_server.forwarding` (docs/ARCHITECTURE.md).
"""

import random

from tornado.curl_httpclient import CurlAsyncHTTPClient

from leadford.common import EndpointId, EntryId, HallId
from leadford.events import Event
from leadford.pipelines.config import FleetConfig
from leadford.protocol import Done, Draining, Load, Message, Refused
from leadford_server.clock import boot_time
from leadford_server.logs import EventLog
from leadford_server.peers import Identity, PeerConnection, PeerServer
from leadford_server.pipelines.config import ConfigFollower
from leadford_server.pipelines.entry._caller_server import CallerServer
from leadford_server.pipelines.entry._changes import ChangeService
from leadford_server.pipelines.entry._claims import ClaimService
from leadford_server.pipelines.entry._crashes import CrashExchange
from leadford_server.pipelines.entry._dialers import DialerFactory
from leadford_server.pipelines.entry._directory import EndpointDirectory
from leadford_server.pipelines.entry._entries import EntryPeers
from leadford_server.pipelines.entry._fanout import FanOut
from leadford_server.pipelines.entry._hosts import HostPoller
from leadford_server.pipelines.entry._http import BODY_BYTES_MAX
from leadford_server.pipelines.entry._operators import OperatorService
from leadford_server.pipelines.entry._pages import make_pages
from leadford_server.pipelines.entry._planned_stop import PlannedStop
from leadford_server.pipelines.entry._planner import PlannerService
from leadford_server.pipelines.entry._requests import RequestTable
from leadford_server.pipelines.entry._services import EntryServices
from leadford_server.pipelines.entry._tables import LocalTables
from leadford_server.pipelines.store import StoreClient
from leadford_server.settings import EntrySettings, SocketAddress

# Maximum time that a connection of a caller may wait for the head of a request, and the
# interval between checks for those that wait longer.
IDLE_MAX_S = 120.0
IDLE_CHECK_INTERVAL_S = 5.0
# Maximum size of the head of a request.
HEADER_BYTES_MAX = 16 * 1024


class EntryProcess:
    """Hold everything that one entry process runs."""

    def __init__(
        self, *, settings: EntrySettings, rng: random.Random | None = None
    ) -> None:
        self.settings = settings
        self.rng = rng if rng is not None else random.Random()
        # Request ids and nonces must not be guessable.
        self.secure_rng = rng if rng is not None else random.SystemRandom()
        self.entry_id = EntryId(settings.entry_id)
        self.hall = HallId(settings.hall)
        self.log_ = EventLog(process_id=settings.entry_id)
        self.http_ = CurlAsyncHTTPClient(force_instance=True, max_clients=64)
        self.store_ = StoreClient(url=settings.store, http=self.http_, log=self.log_)
        self.web_: CallerServer | None = None
        self._build_peers()
        self._build_requests()
        self._build_configuration()
        self._build_operators()

    def _build_peers(self) -> None:
        """Make what knows and connects other processes."""
        settings = self.settings
        identity = Identity(settings.entry_id, "entry", settings.hall, settings.secret)
        dialers = DialerFactory(
            identity=identity,
            handler=self,
            log=self.log_,
            random=self.secure_rng,
            config_version=self._version,
        )
        self.entries_ = EntryPeers(
            entry_id=self.entry_id, hall=self.hall, dialers=dialers
        )
        self.directory_ = EndpointDirectory(
            node_id=settings.entry_id,
            hall=self.hall,
            dialers=dialers,
            log=self.log_,
            random=self.rng,
            clock=boot_time,
        )
        self.hosts_ = HostPoller(
            url=settings.hosts_url,
            hosts=self.directory_.hosts_,
            http=self.http_,
            random=self.rng,
            log=self.log_,
        )
        self.server_ = PeerServer(
            identity=identity,
            handler=self,
            log=self.log_,
            random=self.secure_rng,
            config_version=self._version,
            is_draining=lambda: self.table_.is_leaving_,
        )
        # Held here because the event loop keeps only weak references to tasks.
        self.seeds_ = [dialers.make(str(seed), lambda: None) for seed in settings.seeds]

    def _build_requests(self) -> None:
        """Make what runs requests."""
        self.claims_ = ClaimService(
            entry_id=self.entry_id,
            store=self.store_,
            entries=self.entries_,
            events=self.log_,
            random=self.secure_rng,
        )
        self.services_ = EntryServices(
            entry_id=self.entry_id,
            hall=self.hall,
            log=self.log_,
            random=self.rng,
            secure_random=self.secure_rng,
            directory=self.directory_,
            entries=self.entries_,
            claims=self.claims_,
        )
        self.table_ = RequestTable(services=self.services_)
        self.crashes_ = CrashExchange(
            entries=self.entries_, quarantine=self.services_.quarantine_
        )

    def _build_configuration(self) -> None:
        """Make what follows the configuration and plans models."""
        self.follower_ = ConfigFollower(
            store=self.store_,
            log=self.log_,
            random=self.rng,
            is_relay=self.entries_.is_relay,
            on_change=self._apply,
        )
        self.planner_ = PlannerService(
            entry_id=self.entry_id,
            store=self.store_,
            directory=self.directory_,
            entries=self.entries_,
            log=self.log_,
            random=self.rng,
        )

    def _build_operators(self) -> None:
        """Make what answers operators."""
        tables = LocalTables(
            services=self.services_, requests=self.table_, follower=self.follower_
        )
        self.fanout_ = FanOut(
            entry_id=self.entry_id,
            entries=self.entries_,
            directory=self.directory_,
            tables=tables,
            random=self.rng,
        )
        changes = ChangeService(
            store=self.store_, follower=self.follower_, log=self.log_
        )
        self.operators_ = OperatorService(
            follower=self.follower_, changes=changes, fanout=self.fanout_
        )

    async def start(self) -> SocketAddress:
        """Listen and begin to follow the configuration."""
        await self.server_.start(self.settings.peer)
        pages = make_pages(
            services=self.services_,
            table=self.table_,
            operators=self.operators_,
            version=self._version,
        )
        self.web_ = CallerServer(
            pages,
            max_body_size=BODY_BYTES_MAX,
            max_buffer_size=BODY_BYTES_MAX + HEADER_BYTES_MAX,
            max_header_size=HEADER_BYTES_MAX,
            clock=boot_time,
            idle_max_s=IDLE_MAX_S,
            idle_check_interval_s=IDLE_CHECK_INTERVAL_S,
        )
        self.web_.listen(self.settings.http.port, self.settings.http.host)
        self.web_.watch_idle()
        self.follower_.start()
        self.hosts_.start()
        self.planner_.start()
        self.log_.report(
            Event.PROCESS_STARTED, role="entry", http=str(self.settings.http)
        )
        return self.settings.http

    def _version(self) -> int:
        return self.follower_.version

    def _apply(self, config: FleetConfig) -> None:
        self.services_.apply_config(config)
        self.planner_.apply_config(config)

    def peer_connected(self, peer: PeerConnection) -> None:
        """Record that a connection stands."""
        self.log_.report(Event.PEER_CONNECTED, peer=peer.info.peer_id)
        if peer.info.role == "entry":
            self.entries_.accepted(peer)
            self.crashes_.send_known(peer)
        self.follower_.peer_connected(peer)
        self.directory_.record_reached(EndpointId(peer.info.peer_id))

    def peer_lost(self, peer: PeerConnection) -> None:
        """Drop a connection that ended."""
        self.log_.report(Event.PEER_LOST, peer=peer.info.peer_id)
        self.follower_.peer_lost(peer)
        self.entries_.lost(peer)
        self.claims_.peer_lost(peer)
        self.table_.peer_lost(EndpointId(peer.info.peer_id))

    def peer_version(self, peer: PeerConnection, version: int) -> None:
        """Record the configuration version of a peer."""
        self.follower_.peer_version(peer, version)

    def peer_message(self, peer: PeerConnection, message: Message) -> None:
        """Handle a message."""
        endpoint_id = EndpointId(peer.info.peer_id)
        if isinstance(message, Done | Refused) and message.load is not None:
            self.directory_.record_load(endpoint_id, message.load)
        if self.table_.peer_message(message):
            return
        if isinstance(message, Load):
            self.directory_.record_load(endpoint_id, message)
            self.directory_.record_draining(endpoint_id, False)
            return
        if isinstance(message, Draining):
            self.directory_.record_draining(endpoint_id, True)
            return
        if self.follower_.peer_message(peer, message):
            return
        if self.claims_.peer_message(peer, message):
            return
        if self.fanout_.peer_message(peer, message):
            return
        if self.crashes_.peer_message(message):
            return
        self.entries_.peer_message(peer, message)

    async def drain(self) -> None:
        """Run a planned stop; the process may end afterwards."""
        stop = PlannedStop(
            table=self.table_,
            callers=self.web_,
            log=self.log_,
            clock=boot_time,
            last_steps=(
                self.follower_.stop,
                self.hosts_.stop,
                self.planner_.stop,
                self.directory_.stop,
                self.entries_.stop,
                self.server_.stop,
            ),
        )
        await stop.run()
