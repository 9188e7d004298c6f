import cbor2
import pytest

from chestnuttide import errors
from chestnuttide import mesh

_CODEC = mesh.make_codec(mesh.MESSAGE_CLASSES)
_CALL = mesh.RequestCall(
    call_id=7,
    shard="requests/layout/0",
    request_id="order-1",
    service="layout",
    team="bench",
    urgent=True,
    idempotent=False,
    timeout_s=1.5,
    payload=b'{"latitude": -32.3}',
)


@pytest.mark.parametrize(
    "messages",
    [
        pytest.param([], id="empty_frame"),
        pytest.param([_CALL], id="fields_change_places"),
        pytest.param([mesh.Heartbeat(config_version=3)], id="one_field"),
        pytest.param(
            [mesh.OwnedShards(shards=(("a", 1), ("b", 2)), draining=False)],
            id="nested_tuples_come_back_as_lists",
        ),
        pytest.param(
            [_CALL, mesh.Heartbeat(config_version=3), _CALL],
            id="order_in_frame_is_lost",
        ),
    ],
)
def test_round_trip(messages: list[object]) -> None:
    assert mesh.decode(_CODEC, mesh.encode(_CODEC, messages)) == messages


@pytest.mark.parametrize(
    "frame",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff\xff", id="no_cbor"),
        pytest.param(cbor2.dumps(3), id="no_array"),
        pytest.param(cbor2.dumps([[999, 1]]), id="unknown_tag"),
        pytest.param(cbor2.dumps([[1]]), id="missing_field"),
        pytest.param(cbor2.dumps([["x"]]), id="tag_is_text"),
    ],
)
def test_bad_frame_is_a_protocol_error(frame: bytes) -> None:
    with pytest.raises(errors.ProtocolError):
        mesh.decode(_CODEC, frame)
