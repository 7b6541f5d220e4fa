"""Keep the registry of checks, and what each finds.

A check reads the ledger after a run. One whose `is_timed` is set holds to a bound on
the wall clock: it counts entries only that no fault touched for the contact time.
"""

from typing import Protocol

import msgspec

from leadford_standins.soak._base import STORE, SoakBounds
from leadford_standins.soak._ledger import Ledger, Sent
from leadford_standins.soak.parts import ConfigSeen


class Broken(msgspec.Struct, frozen=True):
    """Hold one promise that was broken: which, by whom, when, and what was seen."""

    promise: str
    request_id: str
    entry: str
    at_s: float
    detail: str


class Evidence(msgspec.Struct, frozen=True):
    """Hold all that checks may read."""

    ledger: Ledger
    versions: list[ConfigSeen]
    bounds: SoakBounds

    def in_touch(self, sent: Sent, until_s: float) -> bool:
        """Tell whether no fault touched the entry or the store, nor the soak itself."""
        scopes = (sent.entry, STORE)
        return self.ledger.is_calm(
            scopes, sent.sent_at - self.bounds.contact_s, until_s
        )


class Check(Protocol):
    """Find where one promise was broken."""

    promise: str
    is_timed: bool

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every place where the promise was broken."""


checks: list[Check] = []


def promises(name: str, *, timed: bool = False):
    """Register a check for a promise."""

    def register(made: type) -> type:
        made.promise = name
        made.is_timed = timed
        checks.append(made())
        return made

    return register


def broken(check: Check, sent: Sent, detail: str) -> Broken:
    """Return a broken promise at a request."""
    return Broken(check.promise, sent.request_id, sent.entry, sent.sent_at, detail)


def run_checks(evidence: Evidence, *, timed: bool) -> list[Broken]:
    """Return all broken promises; `timed` says whether those on the clock count."""
    found: list[Broken] = []
    for check in checks:
        if check.is_timed and not timed:
            continue
        found += check.find(evidence)
    return sorted(found, key=lambda item: item.at_s)
