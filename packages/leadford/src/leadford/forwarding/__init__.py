"""Decisions of the entry that the users' platform runs: requests forwarded unaltered.

One subpackage a rule, in the order in which a request meets them: `routes` looks it up,
`admission` lets it begin, `batching` runs its stages, `endpoints` chooses who answers,
`retries` says what may follow a failed attempt, `answers` what the caller is told;
`membership` says which entries work together, `history` orders what the store says.
`leadford_server.forwarding` carries them out. Nothing here is used by
`leadford.pipelines`, nor the other way round.
"""
