"""Connections that go silent for good, while new ones work, are left by themselves."""

import asyncio

from leadford_standins.wire import play


class SilenceableProxy:
    """Pass connections on; those that stand can be silenced without a close."""

    def __init__(self):
        self.target = None
        self.generation_ = 0
        self.opened_ = 0

    async def start(self):
        self.server_ = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server_.sockets[0].getsockname()
        return f"{host}:{port}"

    def silence(self):
        """Pass nothing more on over the connections that stand now."""
        self.generation_ += 1

    async def _serve(self, reader, writer):
        while self.target is None:
            await asyncio.sleep(0.01)
        host, _, port = self.target.rpartition(":")
        there = await asyncio.open_connection(host, int(port))
        self.opened_ += 1
        await asyncio.gather(
            self._pass(reader, there[1], self.generation_),
            self._pass(there[0], writer, self.generation_),
        )

    async def _pass(self, reader, writer, generation):
        while data := await reader.read(65_536):
            if generation == self.generation_:
                writer.write(data)
        writer.close()


def test_entries_whose_connections_go_silent_connect_anew():
    async def scenario(deployment):
        proxies = [SilenceableProxy(), SilenceableProxy()]
        for number, proxy in enumerate(proxies):
            # An entry does not overwrite what the store has of it.
            spec = {"peers": await proxy.start(), "zone": f"hall-{number}"}
            deployment.store.put("leadford-entries", f"entry-{number}", spec)
        for number, proxy in enumerate(proxies):
            entry = await deployment.start_entry(number)
            proxy.target = str(entry.settings.peers)

        def live():
            return [bool(e.links_.halls_by_live_entry()) for e in deployment.entries_]

        def links():
            return [set(e.links_.peers_by_id_.values()) for e in deployment.entries_]

        def are_new():
            return not any(
                now & before for now, before in zip(links(), silenced, strict=True)
            )

        await deployment.until(lambda: live() == [True, True])
        silenced = links()
        for proxy in proxies:
            proxy.silence()
        # Silence is noticed by heartbeats alone. For how long both are without a live
        # peer at once is up to the moments at which each of them looks.
        await deployment.until(lambda: are_new() and live() == [True, True])

    play(scenario, entries=0)


def test_an_entry_whose_connections_to_the_store_go_silent_hears_of_changes_soon():
    async def scenario(deployment):
        proxy = SilenceableProxy()
        proxy.target = deployment.store_address_
        deployment.store_address_ = await proxy.start()
        entry = await deployment.start_entry(0)
        opened = proxy.opened_
        proxy.silence()
        deployment.config["version"] = 2
        deployment.put_config()
        # A watch of 1.8 s is given up 0.35 s later, its successor hears of the change.
        await deployment.until(
            lambda: entry.state_.config_version() == 2, timeout_s=3.5
        )
        assert proxy.opened_ > opened

    play(scenario, entries=0)


def test_a_safe_request_on_a_connection_that_went_silent_is_answered_elsewhere():
    async def scenario(deployment):
        proxy = SilenceableProxy()
        near, far = deployment.plain
        proxy.target = near.address_
        spec = {**near.spec(), "address": await proxy.start()}
        (entry,) = deployment.entries_
        record = entry.state_.roster_.record(near.endpoint_id)
        deployment.store.put("servers", near.endpoint_id, spec)
        await deployment.until(lambda: record.listed.address == spec["address"])
        deployment.store.delete("servers", far.endpoint_id)
        await deployment.until(
            lambda: (
                entry.state_.roster_.record(far.endpoint_id) is None
                or len(entry.state_.usable("plain")) == 1
            )
        )
        answer = await deployment.send("/safe/x", request_id="a")
        assert answer.code == 200 and proxy.opened_ > 0
        deployment.store.put("servers", far.endpoint_id, far.spec())
        await deployment.until(lambda: len(entry.state_.usable("plain")) == 2)
        proxy.silence()
        for number in range(6):
            answer = await deployment.send(
                "/safe/x", request_id=f"b{number}", deadline_ms=600
            )
            assert answer.code == 200

    play(scenario)
