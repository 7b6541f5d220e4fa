"""Changes of the configuration give versions that return the right verdicts."""

from random import Random

from leadford_standins.soak.parts._config import ConfigWriter


def writer_of(seed=1):
    writer = ConfigWriter(random=Random(seed))
    writer.record_version(0.0)
    return writer


def write(writer, at):
    writer.next_version()
    writer.record_version(at)
    return writer.versions_[-1]


def test_versions_rise_and_keep_what_they_were():
    writer = writer_of()
    writer.move_route()
    later = write(writer, 1.0)
    first = writer.versions_[0]
    assert later.number > first.number
    assert first.verdict("/moved/1", "key-1") == "plain"
    assert later.verdict("/moved/1", "key-1") == "other"


def test_added_routes_and_keys_are_denied_before_and_after():
    writer = writer_of()
    writer.add_routes(1)
    writer.add_key()
    added = write(writer, 1.0)
    route, key = writer.added_routes_[0], writer.added_keys_[0]
    writer.remove_route()
    writer.revoke_key()
    gone = write(writer, 2.0)
    first = writer.versions_[0]
    assert added.verdict(f"/{route}/1", key) in ("plain", "other")
    assert first.verdict(f"/{route}/1", key) == "404"
    assert gone.verdict(f"/{route}/1", "key-1") == "404"
    assert first.verdict("/safe/1", key) == "401"
    assert gone.verdict("/safe/1", key) == "401"


def test_a_write_holds_many_routes():
    writer = writer_of()
    writer.add_routes(1_400)
    assert len(write(writer, 1.0).services_by_segment) > 1_400
