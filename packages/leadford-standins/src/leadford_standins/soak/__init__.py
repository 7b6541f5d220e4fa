"""Run the forwarding entries as processes under random faults, and check the promises.

The store, the endpoints and the callers run inside the soak; faults come from outside
the entries, by proxies on loopback and by signals. Everything is drawn from one seed.
"""

from leadford_standins.soak._base import SoakOptions, UpgradeWay
from leadford_standins.soak._cases import SoakCase, cases
from leadford_standins.soak._report import SoakReport
from leadford_standins.soak._runner import run_soak

__all__ = ["SoakCase", "SoakOptions", "SoakReport", "UpgradeWay", "cases", "run_soak"]
