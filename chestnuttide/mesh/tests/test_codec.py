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
        pytest.param([], id="empty_frame_is_not_decoded"),
        pytest.param([_CALL], id="fields_are_swapped"),
        pytest.param(
            [mesh.Heartbeat(config_version=3)],
            id="single_field_is_not_a_tuple",
        ),
        pytest.param(
            [mesh.OwnedShards(shards=(("a", 1), ("b", 2)), draining=False)],
            id="nested_tuples_are_decoded_as_lists",
        ),
        pytest.param(
            [_CALL, mesh.Heartbeat(config_version=3), _CALL],
            id="message_order_is_lost",
        ),
    ],
)
def test_round_trip(messages: list[object]) -> None:
    """Guards against messages that change when encoded and decoded."""
    assert mesh.decode(_CODEC, mesh.encode(_CODEC, messages)) == messages


@pytest.mark.parametrize(
    "frame",
    [
        pytest.param(b"", id="empty_frame_accepted"),
        pytest.param(b"\xff\xff", id="invalid_cbor_accepted"),
        pytest.param(cbor2.dumps(3), id="non_array_accepted"),
        pytest.param(cbor2.dumps([[999, 1]]), id="unknown_tag_accepted"),
        pytest.param(cbor2.dumps([[1]]), id="missing_field_accepted"),
        pytest.param(cbor2.dumps([["x"]]), id="text_as_tag_accepted"),
    ],
)
def test_invalid_frame_raises_protocol_error(frame: bytes) -> None:
    """Guards against invalid frames that crash the receiver."""
    with pytest.raises(errors.ProtocolError):
        mesh.decode(_CODEC, frame)
