"""Report on a soak: counts of its traffic and faults, and the broken promises.

The report is made after a run from the evidence that the checks have judged. It is
printed and stored with the logs of the run.
"""

from collections import Counter
from pathlib import Path

import msgspec

from leadford_standins.soak._base import SoakPlan
from leadford_standins.soak.checks import Broken, Evidence


class SoakReport(msgspec.Struct, frozen=True):
    """Hold what one run did and which promises it found broken."""

    seed: int
    seconds: float
    entries: int
    requests: int
    requests_by_outcome: dict[str, int]
    faults_by_kind: dict[str, int]
    in_touch: int
    versions: int
    unowned: int
    lag_most_s: float
    broken: tuple[Broken, ...]
    errors: tuple[str, ...]
    folder: str

    @property
    def is_good(self) -> bool:
        """Tell whether no promise was broken and the soak itself had no error."""
        return not self.broken and not self.errors

    def text(self) -> str:
        """Return the report as text."""
        lines = [
            f"soak seed {self.seed}: {self.seconds:.0f} s, {self.entries} entries, "
            f"{self.requests} requests, {self.in_touch} of them "
            f"in touch, {self.versions} versions, "
            f"{sum(self.faults_by_kind.values())} faults; "
            f"the soak was late by {self.lag_most_s:.2f} s at most; "
            f"{self.unowned} connections to the store of no known entry",
            "faults: " + _format_counts(self.faults_by_kind),
            "requests: " + _format_counts(self.requests_by_outcome),
        ]
        for item in self.broken:
            lines.append(
                f"BROKEN {item.promise}: {item.request_id or '-'} at {item.entry}, "
                f"{item.at_s:.3f}: {item.detail}"
            )
        lines += [f"ERROR of the soak: {error}" for error in self.errors]
        lines.append(f"promises broken: {len(self.broken)}; logs: {self.folder}")
        return "\n".join(lines)


def _format_counts(count_by_name: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(count_by_name.items()))


def make_report(
    plan: SoakPlan, evidence: Evidence, broken: list[Broken], folder: Path
) -> SoakReport:
    """Return the report of a run."""
    ledger = evidence.ledger
    outcomes = Counter(
        f"{sent.outcome.value} {sent.status}" if sent.status else sent.outcome.value
        for sent in ledger.sent_by_id_.values()
    )
    return SoakReport(
        seed=plan.options.seed,
        seconds=plan.options.seconds,
        entries=plan.options.entries,
        requests=len(ledger.sent_by_id_),
        requests_by_outcome=dict(outcomes),
        faults_by_kind=dict(Counter(kind for _, kind, _ in ledger.injected_)),
        in_touch=sum(
            evidence.in_touch(sent, sent.ended_at)
            for sent in ledger.sent_by_id_.values()
        ),
        versions=len(evidence.versions),
        unowned=ledger.unowned_,
        lag_most_s=ledger.lag_most_s_,
        broken=tuple(broken),
        errors=tuple(ledger.errors_),
        folder=str(folder),
    )
