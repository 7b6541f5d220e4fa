"""Decide how entries of the users' platform forward requests, which stay unaltered.

Each subpackage decides one question, in the order in which they arise for a request:
`routes` looks it up, `admission` admits it, `batching` runs its stages, `endpoints`
chooses an endpoint, `retries` decides what follows a failed attempt, and `answers`
decides the response to the caller. `membership` determines which entries work together,
and `history` orders data from the store. `leadford_server.forwarding` executes these
decisions. `leadford.pipelines` and this package do not use each other.
"""
