"""Keep the results of attempts in an agent until they are acknowledged."""

from leadford.pipelines.results._kept import AttemptResult, ResultStore, StreamCursor

__all__ = ["AttemptResult", "ResultStore", "StreamCursor"]
