"""Entries tell each other soon what has to be known, and otherwise only that they live.

The load pattern is a large fleet at rest: most links join entries that have nothing to
tell each other.
"""

from collections import Counter

import msgspec

from leadford.protocol import PROTOCOL_UNTOLD, EntryHeartbeat
from leadford_standins.wire import play

ENTRIES = 9
# Heartbeats of an entry that are watched, and those that may be under way at the ends.
BEATS = 12
AT_ENDS = 2


def made_by_id(deployment):
    """Return how many heartbeats each entry has made."""
    entries = deployment.entries_
    return {e.links_.entry_id: e.links_.heartbeats.heartbeat_count_ for e in entries}


async def count_heartbeats(deployment):
    """Return which part of its heartbeats each entry sent to each other one."""
    heard = Counter()
    began = made_by_id(deployment)
    for entry in deployment.entries_:
        links = entry.links_
        handle = links.handlers_[EntryHeartbeat]

        def count(peer, message, links=links, handle=handle):
            heard[peer.info.peer_id, links.entry_id] += 1
            handle(peer, message)

        links.handlers_[EntryHeartbeat] = count
    await deployment.until(
        lambda: all(
            made - began[entry_id] >= BEATS
            for entry_id, made in made_by_id(deployment).items()
        ),
        timeout_s=20.0,
    )
    made = made_by_id(deployment)
    return {
        pair: (count, made[pair[0]] - began[pair[0]]) for pair, count in heard.items()
    }


def settled(deployment):
    """Tell whether every entry holds the links that it wants, and all agree."""
    views = {frozenset(schedulers(entry)) for entry in deployment.entries_}
    return len(views) == 1 and all(
        entry.links_.fleet.peers_to_link() <= set(entry.links_.peers_by_id_)
        for entry in deployment.entries_
    )


def schedulers(entry):
    groups = entry.links_.fleet.stage_groups()
    return {entry.links_.stages.groups.scheduler_of(group) for group in groups}


def test_only_links_on_which_something_is_told_get_every_heartbeat():
    async def scenario(deployment):
        await deployment.until(lambda: settled(deployment))
        at_work = schedulers(deployment.entries_[0])
        followers = {
            entry.links_.entry_id
            for entry in deployment.entries_
            if entry.links_.relays.is_follower
        }
        heard = await count_heartbeats(deployment)
        resting = [
            counts
            for pair, counts in heard.items()
            if not (at_work | followers).intersection(pair)
        ]
        busy = [counts for pair, counts in heard.items() if at_work.intersection(pair)]
        assert resting
        assert busy
        assert all(sent <= made / 2 + AT_ENDS for sent, made in resting)
        assert all(sent >= made - AT_ENDS for sent, made in busy)
        # Nobody counts as dead for it.
        for entry in deployment.entries_:
            live = set(entry.links_.halls_by_live_entry())
            assert live == set(entry.links_.peers_by_id_)

    play(scenario, entries=ENTRIES)


def test_an_older_build_gets_every_heartbeat():
    async def scenario(deployment):
        await deployment.until(lambda: settled(deployment))
        at_work = schedulers(deployment.entries_[0])
        entry = next(
            e
            for e in deployment.entries_
            if e.links_.entry_id not in at_work and not e.links_.relays.is_follower
        )
        sent = Counter()
        for peer in entry.links_.peers_by_id_.values():
            peer.info = msgspec.structs.replace(
                peer.info, protocol_version=PROTOCOL_UNTOLD
            )
            send = peer.send

            def count(message, peer=peer, send=send):
                sent[peer.info.peer_id] += isinstance(message, EntryHeartbeat)
                return send(message)

            peer.send = count
        began = entry.links_.heartbeats.heartbeat_count_
        await deployment.until(
            lambda: entry.links_.heartbeats.heartbeat_count_ >= began + BEATS
        )
        assert min(sent.values()) >= BEATS

    play(scenario, entries=ENTRIES)


def test_entries_of_a_region_with_stages_hold_no_links_for_the_region_alone():
    async def scenario(deployment):
        await deployment.until(lambda: settled(deployment))
        # Two candidates for the stage, two for the engines, two neighbours.
        for entry in deployment.entries_:
            assert len(entry.links_.fleet.peers_to_link()) <= 6

    play(scenario, entries=ENTRIES)
