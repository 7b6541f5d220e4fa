"""Entries send every heartbeat on links that carry news, and fewer on all others.

The tests cover an idle fleet, in which most links connect entries that have no news for
each other.
"""

from collections import Counter

import msgspec

from leadford.protocol import PROTOCOL_UNTOLD, EntryHeartbeat
from leadford_standins.wire import run_scenario

ENTRY_COUNT = 9
# Heartbeats of each entry that are counted, and how many of them may be in flight when
# the count starts or ends.
HEARTBEAT_COUNT = 12
MAX_IN_FLIGHT_COUNT = 2


def heartbeat_counts_by_id(deployment):
    """Return the number of heartbeats that each entry has made."""
    entries = deployment.entries_
    return {e.links_.entry_id: e.links_.heartbeats.heartbeat_count_ for e in entries}


async def count_heartbeats(deployment):
    """Return per sender and receiver the heartbeats received and those made."""
    received = Counter()
    initial = heartbeat_counts_by_id(deployment)
    for entry in deployment.entries_:
        links = entry.links_
        handle = links.handlers_[EntryHeartbeat]

        def count(peer, message, links=links, handle=handle):
            received[peer.info.peer_id, links.entry_id] += 1
            handle(peer, message)

        links.handlers_[EntryHeartbeat] = count
    await deployment.until(
        lambda: all(
            made - initial[entry_id] >= HEARTBEAT_COUNT
            for entry_id, made in heartbeat_counts_by_id(deployment).items()
        ),
        timeout_s=20.0,
    )
    made = heartbeat_counts_by_id(deployment)
    return {
        pair: (count, made[pair[0]] - initial[pair[0]])
        for pair, count in received.items()
    }


def is_settled(deployment):
    """Return whether all entries have their links and agree on the schedulers."""
    views = {frozenset(scheduler_ids(entry)) for entry in deployment.entries_}
    return len(views) == 1 and all(
        entry.links_.fleet.peers_to_link() <= set(entry.links_.peers_by_id_)
        for entry in deployment.entries_
    )


def scheduler_ids(entry):
    groups = entry.links_.fleet.stage_groups()
    return {entry.links_.stages.groups.scheduler_of(group) for group in groups}


def test_only_links_on_which_something_is_told_get_every_heartbeat():
    async def scenario(deployment):
        await deployment.until(lambda: is_settled(deployment))
        active_ids = scheduler_ids(deployment.entries_[0])
        followers = {
            entry.links_.entry_id
            for entry in deployment.entries_
            if entry.links_.relays.is_follower
        }
        received = await count_heartbeats(deployment)
        idle_counts = [
            counts
            for pair, counts in received.items()
            if not (active_ids | followers).intersection(pair)
        ]
        busy_counts = [
            counts for pair, counts in received.items() if active_ids.intersection(pair)
        ]
        assert idle_counts
        assert busy_counts
        assert all(sent <= made / 2 + MAX_IN_FLIGHT_COUNT for sent, made in idle_counts)
        assert all(sent >= made - MAX_IN_FLIGHT_COUNT for sent, made in busy_counts)
        # No entry counts as dead because of fewer heartbeats.
        for entry in deployment.entries_:
            live = set(entry.links_.halls_by_live_entry())
            assert live == set(entry.links_.peers_by_id_)

    run_scenario(scenario, entries=ENTRY_COUNT)


def test_an_older_build_gets_every_heartbeat():
    async def scenario(deployment):
        await deployment.until(lambda: is_settled(deployment))
        active_ids = scheduler_ids(deployment.entries_[0])
        entry = next(
            e
            for e in deployment.entries_
            if e.links_.entry_id not in active_ids and not e.links_.relays.is_follower
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
        initial = entry.links_.heartbeats.heartbeat_count_
        await deployment.until(
            lambda: (
                entry.links_.heartbeats.heartbeat_count_ >= initial + HEARTBEAT_COUNT
            )
        )
        assert min(sent.values()) >= HEARTBEAT_COUNT

    run_scenario(scenario, entries=ENTRY_COUNT)


def test_entries_of_a_region_with_stages_hold_no_links_for_the_region_alone():
    async def scenario(deployment):
        await deployment.until(lambda: is_settled(deployment))
        # At most two candidates for the stage, two for the engines and two neighbours.
        for entry in deployment.entries_:
            assert len(entry.links_.fleet.peers_to_link()) <= 6

    run_scenario(scenario, entries=ENTRY_COUNT)
