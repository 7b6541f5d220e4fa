"""A large configuration comes in force on entries with slow links.

Symptom: an entry that answered its callers, and was in touch with the store and with
its peers, decided by a configuration that had not been the newest for 6.5 s.
Sequence: 1,400 routes were added, and further changes followed. Entries whose link
carries 1.25 MB/s receive such a configuration in 0.45 s. They gave up the call that was
bringing it when its time was over, and began it anew. Meanwhile they asked a peer for
it every 0.3 s, without regard to the answers on their way, until copies filled the
link, heartbeats came too late, links to peers were dropped, and readiness checks
failed. Each further change began all of it again.
Cause: a transfer was begun again by the clock and not for want of progress, and nothing
bounded how many were under way; and nothing kept an entry from deciding by a
configuration that it knew to be old.
What settled it: in a simulated run with 1,400 routes and 13 changes after it, 21
entries lost 269 answers of the store (event 505), 36 of them while they were arriving,
and received 199 copies from peers (606); the last entry was 8.5 s behind the first
(600). A key that had been added 3.8 s before was denied, and 26 requests were cut at
planned stops. Without the cause: none lost, no copy, 0.6 s behind at most.
"""

import asyncio

import pytest

from leadford.protocol import ConfigPartAnswer, ForwardConfigAnswer
from leadford_server.forwarding.store import _follow
from leadford_standins.wire import play, turn_away

# Seconds on its way: longer than a watch may wait in all, with its largest margin.
SLOW_BODY_S = 4.6
# Seconds for which the answer of a peer is held: three times the pause after which a
# peer is asked, less than that after which it counts as stalled.
HELD_S = 0.9


@pytest.mark.parametrize("has_forgotten", [False, True])
def test_a_configuration_that_arrives_slowly_comes_in_force(has_forgotten):
    async def scenario(deployment):
        entry = deployment.entries_[0]
        deployment.store.body_s_by_kind["config"] = SLOW_BODY_S
        deployment.config["version"] = 2
        deployment.put_config()
        if has_forgotten:
            # The configuration comes with a listing instead of a watch.
            deployment.store.forget_history()
        await deployment.until(
            lambda: entry.state_.table_.config.version == 2, timeout_s=20.0
        )

    play(scenario)


def test_a_peer_is_asked_once_for_a_configuration_that_is_on_its_way(monkeypatch):
    async def scenario(deployment):
        first, second = deployment.entries_
        await deployment.until(lambda: second.links_.peers_by_id_)
        turn_away(second)
        # The watch that waits now still ends as the store says.
        await asyncio.sleep(_follow.WATCH_MAX_S + 0.2)
        await deployment.until(lambda: first.links_.peers_by_id_)
        peer = first.links_.peers_by_id_[second.settings.entry_id]
        send = peer.send
        held = []

        def hold_configurations(message):
            if not isinstance(message, (ForwardConfigAnswer, ConfigPartAnswer)):
                return send(message)
            held.append(message)
            asyncio.get_running_loop().call_later(HELD_S, send, message)
            return True

        monkeypatch.setattr(peer, "send", hold_configurations)
        deployment.config["version"] = 9
        deployment.put_config()
        await deployment.until(lambda: second.state_.table_.config.version == 9)
        assert len(held) == 1

    play(scenario, entries=2)
