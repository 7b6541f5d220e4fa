"""A request whose connection is already closed is sent to no endpoint.

A planned stop closes a keep-alive connection 20 ms after the end of a stream on it. If
an entry forwards a request that it has read by then but not handled yet, the endpoint
runs the request although its caller gets no answer.
"""

import asyncio

import pytest

from leadford_standins.wire import run_scenario


def close_connections_before_handling(entry):
    """Close each caller's connection after a head is read and before it is handled."""
    start_request = entry.caller_server_.start_request

    def start(server_conn, request_conn):
        exchange = start_request(server_conn, request_conn)
        handle = exchange.headers_received

        def close_and_handle(start_line, headers):
            request_conn.stream.close()
            return handle(start_line, headers)

        exchange.headers_received = close_and_handle
        return exchange

    entry.caller_server_.start_request = start


@pytest.mark.parametrize(
    ("path", "method"), [("/safe/x", "GET"), ("/unsafe/x", "POST"), ("/once/x", "POST")]
)
def test_a_request_on_a_connection_that_is_closed_reaches_no_endpoint(path, method):
    async def scenario(deployment):
        (entry,) = deployment.entries_
        close_connections_before_handling(entry)
        answer = await deployment.send(path, request_id="r", method=method)
        assert answer.code == 599
        await asyncio.sleep(0.2)
        assert not any(endpoint.runs_ for endpoint in deployment.all_endpoints())
        assert not any(stage.items_ for stage in deployment.stage)
        assert entry.caller_server_.pending_count == 0

    run_scenario(scenario)
