"""Make the entry processes of the own interface that tests look into."""

from random import Random

from leadford_server.pipelines.entry import EntryProcess
from leadford_server.settings import EntrySettings, SocketAddress

ANY_PORT = SocketAddress("127.0.0.1", 0)


def make_entry_process():
    """Return an entry that has not started and whose store does not answer."""
    settings = EntrySettings(
        entry_id="e",
        host_id="h",
        hall="h",
        http=ANY_PORT,
        peer=ANY_PORT,
        store="http://127.0.0.1:9",
        secret=b"secret",
    )
    return EntryProcess(settings=settings, rng=Random(1))
