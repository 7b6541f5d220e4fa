"""Keep the results of attempts in an agent until they are acknowledged."""

from leadford.pipelines.results._kept import KeptResult, ResultStore, StreamCursor

__all__ = ["KeptResult", "ResultStore", "StreamCursor"]
