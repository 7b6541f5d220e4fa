"""Stand-ins of model engines and of plain, encoder, retriever and reranker pools."""

from leadford_standins.endpoints._engine import EngineModel
from leadford_standins.endpoints._engine_pages import make_engine_app
from leadford_standins.endpoints._records import ExecutionRecord, ExecutionTable
from leadford_standins.endpoints._service import make_service_app
from leadford_standins.endpoints._texts import expected_result, expected_tokens

__all__ = [
    "EngineModel",
    "ExecutionRecord",
    "ExecutionTable",
    "expected_result",
    "expected_tokens",
    "make_engine_app",
    "make_service_app",
]
