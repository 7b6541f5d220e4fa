"""Hold what every request of an entry shares.

Built once by the process; `apply_config` is the one place that changes it.
"""

from collections.abc import Callable
from random import Random

from leadford.common import EntryId, HallId, WorkspaceId
from leadford.pipelines.admission import Deferral, EntitlementLedger, EntryAdmission
from leadford.pipelines.config import FleetConfig
from leadford.pipelines.costs import CostAccount
from leadford.pipelines.queues import WorkspaceTerms
from leadford.pipelines.retries import (
    Backoff,
    HedgePolicy,
    RescuePolicy,
    RetryBudget,
    RetryPolicy,
)
from leadford_server.clock import boot_time
from leadford_server.logs import EventLog
from leadford_server.pipelines.entry._claims import ClaimService
from leadford_server.pipelines.entry._directory import EndpointDirectory
from leadford_server.pipelines.entry._entries import EntryPeers
from leadford_server.quarantine import RequestQuarantine


class EntryServices:
    """Join the decision modules of one entry."""

    def __init__(
        self,
        *,
        entry_id: EntryId,
        hall: HallId,
        log: EventLog,
        random: Random,
        secure_random: Random,
        directory: EndpointDirectory,
        entries: EntryPeers,
        claims: ClaimService,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        self.entry_id = entry_id
        self.hall = hall
        self.log = log
        self.random = random
        self.secure_random = secure_random
        self.directory = directory
        self.entries = entries
        self.claims = claims
        self.clock = clock
        self.config_: FleetConfig | None = None
        self.workspace_by_key_hash_: dict[str, WorkspaceId] = {}
        self.admission_ = EntryAdmission()
        self.ledger_ = EntitlementLedger(terms=self._terms)
        self.costs_ = CostAccount()
        self.budget_ = RetryBudget()
        self.retry_policy_ = RetryPolicy(
            budget=self.budget_, backoff=Backoff(random=random)
        )
        self.rescue_ = RescuePolicy()
        self.deferral_ = Deferral()
        self.quarantine_ = RequestQuarantine(now=clock, random=secure_random, log=log)
        self.hedges_by_stage_: dict[str, HedgePolicy] = {}

    def apply_config(self, config: FleetConfig) -> None:
        """Put a configuration in force."""
        self.config_ = config
        self.budget_.ratio = config.tuning.retry_ratio
        self.workspace_by_key_hash_ = {
            key_hash: WorkspaceId(name)
            for name, workspace in config.workspaces.items()
            for key_hash in workspace.key_hashes
        }
        self.entries.apply_config(config)
        self.directory.apply_config(config)
        self.claims.apply_config(config)

    def _terms(self, workspace: WorkspaceId) -> WorkspaceTerms:
        return self.config_.terms(workspace) if self.config_ else WorkspaceTerms()

    def hedge_policy(self, stage: str) -> HedgePolicy:
        """Return the hedge policy of a stage."""
        return self.hedges_by_stage_.setdefault(stage, HedgePolicy())
