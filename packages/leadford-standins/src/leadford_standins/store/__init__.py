"""Stand-in of the platform's object API."""

from leadford_standins.store._objects import ObjectTable, StoreCalls
from leadford_standins.store._server import make_store_app

__all__ = ["ObjectTable", "StoreCalls", "make_store_app"]
