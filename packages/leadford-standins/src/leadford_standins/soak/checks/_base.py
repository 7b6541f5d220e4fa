"""Define checks, their registry, and the findings they return.

A check reads the evidence after a run. A check with `is_timed` enforces a bound on wall
clock time; most of them judge only entries that no fault affected for the contact time.
"""

from typing import Protocol

import msgspec

from leadford_standins.soak._base import STORE, SoakBounds
from leadford_standins.soak._ledger import Ledger, Sent
from leadford_standins.soak.parts import ConfigSeen


class Broken(msgspec.Struct, frozen=True):
    """Hold one broken promise: which, at what entry, when, and what was seen."""

    promise: str
    request_id: str
    entry: str
    at_s: float
    detail: str


class Evidence(msgspec.Struct, frozen=True):
    """Hold all that the checks may read."""

    ledger: Ledger
    versions: list[ConfigSeen]
    bounds: SoakBounds

    def in_touch(self, sent: Sent, until_s: float) -> bool:
        """Tell whether no fault affected the entry, the store or the soak itself."""
        scopes = (sent.entry, STORE)
        return self.ledger.is_calm(
            scopes, sent.sent_at - self.bounds.contact_s, until_s
        )


class Check(Protocol):
    """Find where one promise was broken."""

    promise: str
    is_timed: bool

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every case in which the promise was broken."""


checks: list[Check] = []


def promises(name: str, *, timed: bool = False):
    """Return a decorator that registers a check for a promise."""

    def register(check_class: type) -> type:
        check_class.promise = name
        check_class.is_timed = timed
        checks.append(check_class())
        return check_class

    return register


def broken_promise(check: Check, sent: Sent, detail: str) -> Broken:
    """Return the finding that a request breaks the promise of a check."""
    return Broken(check.promise, sent.request_id, sent.entry, sent.sent_at, detail)


def run_checks(evidence: Evidence, *, timed: bool) -> list[Broken]:
    """Return all broken promises; `timed` says whether timed checks run."""
    found: list[Broken] = []
    for check in checks:
        if check.is_timed and not timed:
            continue
        found += check.find(evidence)
    return sorted(found, key=lambda item: item.at_s)
