"""Run leadford's own interface: entries that execute pipelines, agents at endpoints.

The users' platform runs none of this: there `leadford_server.forwarding` serves.
"""
