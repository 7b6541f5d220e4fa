"""A request whose connection is closed already is passed on to no endpoint.

A planned stop closes a kept connection 20 ms after the end of a stream on it. A
request that was read in that moment, but not handled yet, was passed on all the same:
its caller had no answer, and its endpoint ran it.

    6.2748 s  406 forward_ended, the stream that was answered before on the connection
    6.296  s  the endpoint runs the next request of the connection
    6.298  s  the caller sees the connection closed without an answer
    6.3135 s  406 forward_ended, answered
"""

import asyncio

import pytest

from leadford_standins.wire import play


def close_before_heads(entry):
    """Close each caller's connection between reading a head and handling it."""
    start_request = entry.caller_server_.start_request

    def start(server_conn, request_conn):
        exchange = start_request(server_conn, request_conn)
        handle = exchange.headers_received

        def handle_late(start_line, headers):
            request_conn.stream.close()
            return handle(start_line, headers)

        exchange.headers_received = handle_late
        return exchange

    entry.caller_server_.start_request = start


@pytest.mark.parametrize(
    ("path", "method"), [("/safe/x", "GET"), ("/unsafe/x", "POST"), ("/once/x", "POST")]
)
def test_a_request_on_a_connection_that_is_closed_reaches_no_endpoint(path, method):
    async def scenario(deployment):
        (entry,) = deployment.entries_
        close_before_heads(entry)
        answer = await deployment.send(path, request_id="r", method=method)
        assert answer.code == 599
        await asyncio.sleep(0.2)
        assert not any(endpoint.runs_ for endpoint in deployment.all_endpoints())
        assert not any(stage.items_ for stage in deployment.stage)
        assert entry.caller_server_.pending_count == 0

    play(scenario)
