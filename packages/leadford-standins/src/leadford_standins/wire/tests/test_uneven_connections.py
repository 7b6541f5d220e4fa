"""Callers may open most of their connections to one entry, and later to another one."""

import asyncio
import errno
import socket

from leadford_standins.wire import run_scenario

# Time after which limits must have followed the load.
CONTACT_S = 3.0
CALM_S = 2.0
# Requests per second in all; twice what one entry's equal share of the connections
# to the endpoints can carry.
REQUESTS_PER_S = 40
WORK_S = 0.15
MAX_CONNECTIONS = 10
DEADLINE_MS = 1_000
MIN_SERVED_FRACTION = 0.75


class Traffic:
    """Send requests to chosen entries, and keep when each was sent and its status."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.count_ = 0
        self.sent_ = []

    async def send_for(self, seconds, entries):
        """Send requests to some entries in turn, and wait for the answers."""
        async with asyncio.TaskGroup() as group:
            for _ in range(int(seconds * REQUESTS_PER_S)):
                self.count_ += 1
                entry = entries[self.count_ % len(entries)]
                group.create_task(self._send(self.count_, entry))
                await asyncio.sleep(1.0 / REQUESTS_PER_S)

    async def _send(self, number, entry):
        sent_at = asyncio.get_running_loop().time()
        answer = await self.deployment.send(
            "/unsafe/x",
            request_id=f"r{number}",
            entry=entry,
            deadline_ms=DEADLINE_MS,
        )
        self.sent_.append((sent_at, answer.code))

    def served_fraction(self, since, until):
        """Return the fraction of requests sent in a time that were served."""
        codes = [code for at, code in self.sent_ if since <= at < until]
        assert len(codes) >= 20
        return codes.count(200) / len(codes)


async def assert_served_once_followed(traffic, entry, calm):
    """Check that one entry carries all requests once its share has followed."""
    now = asyncio.get_running_loop().time
    began_at = now()
    await traffic.send_for(CONTACT_S + 2.0, [entry])
    served = traffic.served_fraction(began_at + CONTACT_S, now())
    assert served >= MIN_SERVED_FRACTION * calm


def test_connections_to_endpoints_follow_callers_that_go_to_one_entry():
    # Each entry held an equal share of the connections that an endpoint bears.
    async def scenario(deployment):
        for service in deployment.config["services"]:
            if service["name"] == "plain":
                service["maxConns"] = MAX_CONNECTIONS
        for endpoint in deployment.plain:
            endpoint.work_s = WORK_S
        await deployment.apply_config()
        traffic = Traffic(deployment)
        now = asyncio.get_running_loop().time
        began_at = now()
        await traffic.send_for(CALM_S, range(9))
        calm = traffic.served_fraction(began_at, now())
        await assert_served_once_followed(traffic, 0, calm)
        # The next entry has all of them after the first is out, and is killed as well.
        deployment.entries_[0].stop()
        await assert_served_once_followed(traffic, 4, calm)
        open_counts = [endpoint.max_connections_ for endpoint in deployment.plain]
        assert max(open_counts) <= MAX_CONNECTIONS
        began_at = now()
        await traffic.send_for(CONTACT_S + 2.0, range(1, 9))
        assert traffic.served_fraction(began_at + CONTACT_S, now()) >= 0.9 * calm

    run_scenario(scenario, entries=9, endpoints=3)


def test_an_entry_takes_many_connections_that_come_at_once():
    # Beyond 128 that wait, the kernel drops a caller's first packet, and it waits 1 s.
    async def scenario(deployment):
        address = deployment.entries_[0].settings.callers
        target = (address.host, address.port)
        # The event loop does not run meanwhile, so the entry accepts none of them.
        waiting = [socket.create_connection(target, timeout=0.9) for _ in range(400)]
        answer = await deployment.send("/unsafe/x", request_id="r")
        assert answer.code == 200
        for sock in waiting:
            sock.close()

    run_scenario(scenario)


class SocketWithoutDescriptors:
    """Accept nothing, as if the process had no descriptor left."""

    def accept(self):
        raise OSError(errno.EMFILE, "too many open files")


def test_an_entry_without_descriptors_refuses_connections_for_a_while():
    # The socket stays readable, so the loop would do nothing else.
    async def scenario(deployment):
        server = deployment.entries_[0].caller_server_
        server.listener_._accept(SocketWithoutDescriptors())
        assert server.listener_.sockets_ == []
        await deployment.until(lambda: server.listener_.sockets_)
        answer = await deployment.send("/unsafe/x", request_id="r")
        assert answer.code == 200

    run_scenario(scenario)
