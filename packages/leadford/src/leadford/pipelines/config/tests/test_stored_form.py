"""Stored configurations are readable, and are encoded to the same bytes again."""

from returns.result import Success

from leadford.pipelines.config import ConfigTracker, decode_head, encode_head, split

# Made from examples/fleet.toml and kept as bytes: if the stored form changed, processes
# could not read the store during an upgrade.
HEAD = bytes.fromhex(
    "8307a264626173657822372d3937313561633831333337393161333761353938303565313931"
    "6533323537396d776f726b7370616365732d30387822372d3231613330613634303763356438"
    "3136653038386165623932333031393530348187070665636d642d31646f702d61fb41d954fc"
    "402000007818647261696e20656e64706f696e7420656e67696e65732d318183646261736564"
    "362d61617822372d393731356163383133333739316133376135393830356531393165333235"
    "3739"
)
BASE = bytes.fromhex(
    "a565706f6f6c73a267656e67696e6573a2646b696e6466656e67696e656b636f6e6375727265"
    "6e63790868656e636f64657273a1646b696e6467656e636f6465726674756e696e67a16b7265"
    "7472795f726174696ffb3fb999999999999a67656e7472696573a167656e7472792d31a36468"
    "616c6c6764616b61722d3164686f737466686f73742d3364706565726d31302e302e302e313a"
    "3830383169656e64706f696e7473a269656e67696e65732d31a56375726c74687474703a2f2f"
    "31302e302e312e313a383030306468616c6c6764616b61722d3164686f737466686f73742d31"
    "64706f6f6c67656e67696e6573656167656e746d31302e302e312e313a383038326a656e636f"
    "646572732d31a56375726c74687474703a2f2f31302e302e312e323a383030306468616c6c67"
    "64616b61722d3164686f737466686f73742d3264706f6f6c68656e636f64657273656167656e"
    "746d31302e302e312e323a3830383269706970656c696e6573a16468696e74a3667374616765"
    "7382a3646e616d6566656e636f646564706f6f6c68656e636f646572736b6578706563746564"
    "5f6d73f94800a4646e616d656867656e657261746564706f6f6c67656e67696e65736b657870"
    "65637465645f6d73f95c606f65787065637465645f746f6b656e730c687072696f7269747901"
    "6b646561646c696e655f6d73f963d0"
)
WORKSPACES = bytes.fromhex(
    "a166636c75622d61a2657368617265f94000676d696e696d756dfb3fc999999999999a"
)


def test_a_stored_head_is_read_and_written_the_same():
    head = decode_head(HEAD).unwrap()
    assert head.version == 7
    record = head.audit[0]
    assert (record.from_version, record.command_id) == (6, "cmd-1")
    assert (record.operator, record.at_s) == ("op-a", 1_700_000_000.5)
    assert record.command == "drain endpoint engines-1"
    assert record.deltas[0].before == "6-aa"
    assert encode_head(head) == HEAD


def test_stored_chunks_are_read_and_written_the_same():
    head = decode_head(HEAD).unwrap()
    keys = head.keys_by_chunk
    data_by_name = {"base": BASE}
    data_by_name.update({name: WORKSPACES for name in keys if name != "base"})
    fetched = {keys[name]: data for name, data in data_by_name.items()}
    config = ConfigTracker().offer(head, fetched)
    assert isinstance(config, Success)
    assert "club-a" in config.unwrap().workspaces
    written = split(config.unwrap(), 7)
    assert {name: chunk.data for name, chunk in written.items()} == data_by_name
    assert {name: chunk.key for name, chunk in written.items()} == keys
