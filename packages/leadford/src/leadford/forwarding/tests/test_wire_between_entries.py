"""Test that the wire format between entries of different versions stays compatible."""

import cbor2
import msgspec
import pytest
from hypothesis import given, strategies as st

from leadford.forwarding.endpoints import ListedEndpoint, ListedState, SoftwareVersion
from leadford.forwarding.history import FIRST_EPOCH, StoreEpoch, StorePosition
from leadford.forwarding.routes import (
    ColdLimits,
    ForwardConfig,
    RouteKind,
    Service,
    ServiceId,
)
from leadford.protocol import (
    PROTOCOL_UNTOLD,
    AdmittedLevels,
    BacklogReport,
    EntryHeartbeat,
    EvacuationReport,
    FleetBacklog,
    FleetLevels,
    HallReport,
    LevelCount,
    LimitNews,
    LimitReport,
    PackedChanges,
    PackedListing,
    PieceAnswer,
    PieceSubmit,
    PlaceAnswer,
    PlaceRequest,
    PromptPartReport,
    PromptRead,
    ServiceLevels,
    StoreChange,
    StoreChanges,
    StoreConfirmation,
    StoreConfirmations,
    StreamOriginAnswer,
    StreamOriginNews,
    StreamOriginReport,
    StreamOriginRequest,
    decode,
    encode,
)

# Fixed bytes: entries of two versions could not communicate during an upgrade if the
# format changed. The configuration and the listing are encoded by field name, and the
# messages of a frame as arrays.
CONFIG = bytes.fromhex(
    "85a776657273696f6e24a6726f75746573918da8726f7574655f6964a27231a4686f7374ad72"
    "6f6f6d732e6578616d706c65ab706174685f707265666978a62f68696e742fa46b696e64a673"
    "747265616da873657276696365739182aa736572766963655f6964a16da6776569676874cb3f"
    "f0000000000000aa74696d656f75745f6d73cb40bf400000000000a661696d5f6d73cb409900"
    "0000000000ac617474656d7074735f6d617803a87072696f7269747900a67374616765739183"
    "aa736572766963655f6964a173a5616674657290ac726573756c745f6279746573ce0016e360"
    "a969735f7075626c6963c2ac69735f726573756d61626c65c3aa6761705f61696d5f6d73cb40"
    "7f400000000000ae73657276696365735f62795f696482a17385aa736572766963655f6964a1"
    "73af636f6e6e656374696f6e735f6d617807ab6865616c74685f70617468a22f68a670696563"
    "657387a5736c6f747301a5717565756502a5626174636804a763616c6c5f6d73cb4069000000"
    "000000a870696563655f6d73cb4045000000000000aa726f6f6d5f6279746573ce00895440ab"
    "726574656e74696f6e5f73cb4010000000000000a6656e67696e65c0a16d85aa736572766963"
    "655f6964a16daf636f6e6e656374696f6e735f6d617809ab6865616c74685f70617468a0a670"
    "6965636573c0a6656e67696e6582a5736c6f747304ad6d656d6f72795f746f6b656e73cdea60"
    "a66c696d69747384ac6865616465725f6279746573cd4000aa626f64795f6279746573ce0040"
    "0000a96865616465725f6d73cb40a7700000000000a769646c655f6d73cb40cd4c0000000000"
    "aa776f726b7370616365739183ac776f726b73706163655f6964a27731a46b65797391a56b65"
    "792d31a87072696f7269747902"
)
LISTING = bytes.fromhex(
    "9188ab656e64706f696e745f6964a3692d31aa736572766963655f6964a173a7616464726573"
    "73ab31302e302e302e313a3830a468616c6ca26831a57374617465a8647261696e696e67a573"
    "6c6f747304a7636f6c645f6d73cb4029000000000000a87265766973696f6e4d"
)
FRAME = bytes.fromhex(
    "8218248c871821184d818461736172fb405e200000000000192328f581836173f50c81846266"
    "31fb406f400000000000f5a1617304818363692d31190bb8018f181d07617361726271310102"
    "62706b8163612f311905dcfb408c240000000000fb4089040000000000fb40a5e10000000000"
    "8163692d32a1626831190bb885181e0763612f326063692d3185181e0860646c617465608218"
    "26810782181f82080983182063692d318163612f32821822182383182318244178821824184c"
    "831825184d417982182781836265316d31302e302e302e323a37373430626831"
)


def test_a_configuration_travels_as_before():
    config = msgspec.msgpack.decode(CONFIG, type=ForwardConfig)
    assert config.version == 36
    route = config.routes[0]
    assert (route.kind, route.is_resumable) == (RouteKind.STREAM, True)
    assert config.services_by_id["s"].pieces.room_bytes == 9_000_000
    assert config.services_by_id["m"].engine.memory_tokens == 60_000
    assert config.workspaces[0].keys == ("key-1",)
    assert msgspec.msgpack.encode(config) == CONFIG


def test_a_listing_travels_as_before():
    listed = msgspec.msgpack.decode(LISTING, type=list[ListedEndpoint])
    assert listed[0].state is ListedState.DRAINING
    assert (listed[0].cold_ms, listed[0].revision) == (12.5, 77)
    assert msgspec.msgpack.encode(listed) == LISTING


# The same frame, with the lowest protocol version among an entry's links in heartbeats.
VERSIONED_FRAME = bytes.fromhex(
    FRAME.hex()
    .replace("871821184d", "881821184d", 1)
    .replace("8363692d31190bb801", "8363692d31190bb80106", 1)
)
# The same frame, with the epoch of the store next to each revision of the listing.
EPOCH_FRAME = bytes.fromhex(
    VERSIONED_FRAME.hex()
    .replace("881821184d", "891821184d", 1)
    .replace("8363692d31190bb80106", "8363692d31190bb8010600", 1)
    .replace("821824184c831825184d4179", "831824184c00841825184d417900", 1)
)
# The same frame, with the level of a piece, which is untold here.
LEVEL_FRAME = bytes.fromhex(
    EPOCH_FRAME.hex()
    .replace("8f181d07", "90181d07", 1)
    .replace("a1626831190bb885181e", "a1626831190bb82085181e", 1)
)
# The same frame, with the time of a heartbeat and of the last confirmation by the
# store, which are untold here.
CONFIRMED_FRAME = bytes.fromhex(
    LEVEL_FRAME.hex()
    .replace("891821184d", "8b1821184d", 1)
    .replace("8363692d31190bb8010600", "8363692d31190bb8010600fb0000000000000000f6", 1)
)
# The same frame, with the part of the time for which the entry is late, untold here.
LATE_FRAME = bytes.fromhex(
    CONFIRMED_FRAME.hex()
    .replace("8b1821184d", "8c1821184d", 1)
    .replace("0600fb0000000000000000f6", "0600fb0000000000000000f6f6", 1)
)


def test_messages_of_older_builds_are_read():
    frame = decode(FRAME).unwrap()
    assert frame.config_version == 36
    kinds = [type(message) for message in frame.messages]
    assert kinds[:3] == [EntryHeartbeat, PieceSubmit, PieceAnswer]
    assert len(kinds) == 12
    assert frame.messages[0].lowest_version == PROTOCOL_UNTOLD
    assert frame.skipped == ()


def test_messages_travel_as_before():
    messages = decode(FRAME).unwrap().messages
    assert encode(36, messages) == LATE_FRAME
    assert decode(LATE_FRAME).unwrap().messages == messages
    assert decode(CONFIRMED_FRAME).unwrap().messages == messages
    assert decode(LEVEL_FRAME).unwrap().messages == messages
    assert decode(EPOCH_FRAME).unwrap().messages == messages
    assert decode(VERSIONED_FRAME).unwrap().messages == messages


LATER_FIELDS = st.lists(st.integers() | st.text(max_size=5) | st.none(), max_size=3)
LATER_MESSAGE = st.tuples(st.integers(1_000, 2_000), st.text(max_size=5)).map(list)


@given(st.data())
def test_frames_of_a_later_build_are_read_as_far_as_they_are_known(data):
    known_frames = [LATE_FRAME, *map(bytes.fromhex, FLEET_MESSAGES)]
    known = data.draw(st.sampled_from(known_frames))
    version, messages = cbor2.loads(known)
    later_messages = [[*message, *data.draw(LATER_FIELDS)] for message in messages]
    unknown = data.draw(st.lists(LATER_MESSAGE, max_size=3))
    index = data.draw(st.integers(0, len(later_messages)))
    later_messages[index:index] = unknown
    frame = decode(cbor2.dumps([version, later_messages])).unwrap()
    assert len(frame.skipped) == len(unknown)
    assert frame.messages == decode(known).unwrap().messages


def test_evacuations_travel_in_a_message_of_their_own():
    report = EvacuationReport([HallReport("h1", 9, True)])
    data = bytes.fromhex("820381" + "82182a81" + "846268" + "3109f500")
    assert encode(3, [report]) == data
    assert decode(data).unwrap().messages == [report]
    older = bytes.fromhex("820381" + "82182a81" + "836268" + "3109f5")
    assert decode(older).unwrap().messages == [report]


def test_limits_of_cold_endpoints_are_left_out_of_services_without_them():
    bounded = Service(ServiceId("s"), 9, cold=ColdLimits(per_s=9.0, lasts_s=3.0))
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(bounded), type=Service)
    assert read == bounded
    plain = msgspec.msgpack.encode(Service(ServiceId("s"), 9))
    assert b"cold" not in plain


FLEET_MESSAGES = {
    "82038182182b8186617318440a19012cfb4046c00000000000fb4028000000000000": (
        FleetBacklog([BacklogReport("s", 68, 10, 300, 45.5, 12.0)])
    ),
    "82038183182cfb4097700000000000818667736572766572730c0900fb40938a000000000002": (
        StoreConfirmations(1500.0, [StoreConfirmation("servers", 12, 9, 0, 1250.5, 2)])
    ),
    "82038187182d67736572766572730709fb40977000000000008183427b7df50902": StoreChanges(
        "servers", 7, 9, 1500.0, [StoreChange(b"{}", True, 9)], 2
    ),
    "82038187182e03616d18648182626161183281626531a162683109": PlaceRequest(
        3, "m", 100, [PromptPartReport("aa", 50)], ["e1"], {"h1": 9}
    ),
    "82038187183167736572766572730709fb409770000000000042789c02": PackedChanges(
        "servers", 7, 9, 1500.0, b"\x78\x9c", 2
    ),
    "820381841832" + "0942789c02": PackedListing(9, b"\x78\x9c", 2),
    "82038183182f03626531": PlaceAnswer(3, "e1"),
    "82038182183003": PromptRead(3),
    "8203818218358183626531fb3ff8000000000000fb4059000000000000": LimitNews(
        [LimitReport("e1", 1.5, 100.0)]
    ),
    "820381821836818361730181830205fbbff0000000000000": AdmittedLevels(
        [ServiceLevels("s", 1, [LevelCount(2, 5)])]
    ),
    "820381821837818361731844818300190100fb4046c00000000000": FleetLevels(
        [ServiceLevels("s", 68, [LevelCount(0, 256, 45.5)])]
    ),
    "82038182183d81856272316263316173627631fb4097700000000000": (
        StreamOriginNews([StreamOriginReport("r1", "c1", "s", "v1", 1500.0)])
    ),
    "82038185183e076272316263316173": StreamOriginRequest(7, "r1", "c1", "s"),
    "82038186183f0781856272316263316173627631fb409770000000000080fb0000000000000000"
    "fb0000000000000000": (
        StreamOriginAnswer(7, [StreamOriginReport("r1", "c1", "s", "v1", 1500.0)])
    ),
    "82038186183f078081627631fb40a3880000000000fb40a7700000000000": (
        StreamOriginAnswer(7, [], ["v1"], 2500.0, 3000.0)
    ),
}


@pytest.mark.parametrize("data", FLEET_MESSAGES)
def test_what_entries_know_of_the_fleet_travels_in_messages_of_its_own(data):
    message = FLEET_MESSAGES[data]
    assert encode(3, [message]).hex() == data
    assert decode(bytes.fromhex(data)).unwrap().messages == [message]


# As encoded by builds that do not say for how long they have missed no stream.
ANSWERS_WITHOUT_COMPLETENESS = {
    "82038185183f0781856272316263316173627631fb409770000000000080fb0000000000000000": (
        StreamOriginAnswer(7, [StreamOriginReport("r1", "c1", "s", "v1", 1500.0)])
    ),
    "82038185183f078081627631fb40a3880000000000": (
        StreamOriginAnswer(7, [], ["v1"], 2500.0, 0.0)
    ),
}


@pytest.mark.parametrize("data", ANSWERS_WITHOUT_COMPLETENESS)
def test_answers_of_builds_that_may_have_missed_streams_say_so(data):
    message = ANSWERS_WITHOUT_COMPLETENESS[data]
    assert decode(bytes.fromhex(data)).unwrap().messages == [message]


# As encoded by builds that send no epoch of the store.
MESSAGES_WITHOUT_EPOCH = {
    "82038183182cfb4097700000000000818567736572766572730c0900fb40938a0000000000": (
        StoreConfirmations(1500.0, [StoreConfirmation("servers", 12, 9, 0, 1250.5, 0)])
    ),
    "82038186182d67736572766572730709fb40977000000000008183427b7df509": StoreChanges(
        "servers", 7, 9, 1500.0, [StoreChange(b"{}", True, 9)], 0
    ),
    "82038186183167736572766572730709fb409770000000000042789c": PackedChanges(
        "servers", 7, 9, 1500.0, b"\x78\x9c", 0
    ),
    "820381831832" + "0942789c": PackedListing(9, b"\x78\x9c", 0),
}


@pytest.mark.parametrize("data", MESSAGES_WITHOUT_EPOCH)
def test_news_of_the_store_from_older_builds_are_read(data):
    frame = decode(bytes.fromhex(data)).unwrap()
    assert frame.messages == [MESSAGES_WITHOUT_EPOCH[data]]
    assert frame.skipped == ()


def test_a_listing_tells_its_epoch_where_the_store_tells_one():
    (plain,) = msgspec.msgpack.decode(LISTING, type=list[ListedEndpoint])
    restored = plain.in_epoch(StoreEpoch(2))
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(restored), type=ListedEndpoint)
    assert read.position == StorePosition(StoreEpoch(2), 77)
    assert plain.position == StorePosition(FIRST_EPOCH, 77)


def test_a_listing_tells_the_software_of_an_endpoint_by_a_field_of_its_own():
    (plain,) = msgspec.msgpack.decode(LISTING, type=list[ListedEndpoint])
    built = msgspec.structs.replace(plain, software=SoftwareVersion("v2"))
    data = msgspec.msgpack.encode(built)
    assert msgspec.msgpack.decode(data, type=ListedEndpoint) == built
    fields = msgspec.msgpack.decode(data)
    assert fields.pop("software") == "v2"
    assert [fields] == msgspec.msgpack.decode(LISTING)
