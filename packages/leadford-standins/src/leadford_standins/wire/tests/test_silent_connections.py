"""Replace connections that stay silent while new connections work."""

import asyncio

from leadford_standins.wire import run_scenario


class SilenceableProxy:
    """Forward connections; open ones can be silenced without being closed."""

    def __init__(self):
        self.target = None
        self.generation_ = 0
        self.opened_ = 0

    async def start(self):
        self.server_ = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server_.sockets[0].getsockname()
        return f"{host}:{port}"

    def silence(self):
        """Stop forwarding data on the connections that are open now."""
        self.generation_ += 1

    async def _serve(self, reader, writer):
        while self.target is None:
            await asyncio.sleep(0.01)
        host, _, port = self.target.rpartition(":")
        target_streams = await asyncio.open_connection(host, int(port))
        self.opened_ += 1
        await asyncio.gather(
            self._pass(reader, target_streams[1], self.generation_),
            self._pass(target_streams[0], writer, self.generation_),
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
            # An entry does not overwrite its own record in the store.
            spec = {"peers": await proxy.start(), "zone": f"hall-{number}"}
            deployment.store.put("leadford-entries", f"entry-{number}", spec)
        for number, proxy in enumerate(proxies):
            entry = await deployment.start_entry(number)
            proxy.target = str(entry.settings.peers)

        def have_live_peers():
            return [bool(e.links_.halls_by_live_entry()) for e in deployment.entries_]

        def peer_sets():
            return [set(e.links_.peers_by_id_.values()) for e in deployment.entries_]

        def are_replaced():
            return not any(
                now & before for now, before in zip(peer_sets(), silenced, strict=True)
            )

        await deployment.until(lambda: have_live_peers() == [True, True])
        silenced = peer_sets()
        for proxy in proxies:
            proxy.silence()
        # Only missing heartbeats show the silence. How long both entries are without a
        # live peer at the same time depends on when each of them checks.
        await deployment.until(
            lambda: are_replaced() and have_live_peers() == [True, True]
        )

    run_scenario(scenario, entries=0)


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
        # The entry cancels a watch of 1.8 s 0.35 s later; the next one gets the change.
        await deployment.until(
            lambda: entry.state_.config_version() == 2, timeout_s=3.5
        )
        assert proxy.opened_ > opened

    run_scenario(scenario, entries=0)


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

    run_scenario(scenario)
