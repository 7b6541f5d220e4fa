"""Decisions of leadford's own interface: declared pipelines, entries and agents.

`leadfordd entry` and `leadfordd agent` (`leadford_server.pipelines`) carry them out.
The users' platform does not run this code: there, the entry of `leadford.forwarding`
handles the requests.
"""
