"""Cut an entry off from the others, and delay the calls of an entry to the store."""

import asyncio

# Longer than any scenario.
NEVER_S = 60.0


def cut_links(entry):
    """Close all links of an entry, and let it begin none."""
    entry.links_.fleet.peers_to_link = lambda reach: set()
    entry.links_.stop()


async def mend_links(entry):
    """Let an entry have links again."""
    del entry.links_.fleet.peers_to_link
    await entry.links_.start()


def delay_calls(entry, part, delay_s=NEVER_S):
    """Delay each call of an entry to the store whose path has a part."""
    client = entry.client_
    call = type(client).call

    async def delayed_call(path, **fields):
        if part in path:
            await asyncio.sleep(delay_s)
        return await call(client, path, **fields)

    client.call = delayed_call


def delay_no_calls(entry):
    """Delay the next calls of an entry to the store no more."""
    vars(entry.client_).pop("call", None)
