"""Run forwarding entries as processes under random faults, and check their guarantees.

The store, the endpoints and the callers run inside the soak process; faults reach the
entries from outside, by proxies on loopback and by signals. One seed determines all
random draws.
"""

from leadford_standins.soak._base import SoakOptions, UpgradeWay
from leadford_standins.soak._cases import SoakCase, cases
from leadford_standins.soak._report import SoakReport
from leadford_standins.soak._runner import run_soak

__all__ = ["SoakCase", "SoakOptions", "SoakReport", "UpgradeWay", "cases", "run_soak"]
