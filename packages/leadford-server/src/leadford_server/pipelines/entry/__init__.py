"""The process that callers and operators reach."""

from leadford_server.pipelines.entry._process import EntryProcess

__all__ = ["EntryProcess"]
