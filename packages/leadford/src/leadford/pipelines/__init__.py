"""Decisions of leadford's own interface: declared pipelines, entries and agents.

`leadfordd entry` and `leadfordd agent` (`leadford_server.pipelines`) carry them out.
The users' platform runs none of this: there the entry of `leadford.forwarding` serves.
"""
