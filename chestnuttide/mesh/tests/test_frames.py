"""Tests of the frames that messages share."""

import pytest

from chestnuttide import mesh
from chestnuttide.mesh import _codec
from chestnuttide.mesh import _connection


@pytest.mark.parametrize(
    ("sizes", "frames"),
    [
        pytest.param([10] * 8, 1, id="small-messages-share-one"),
        pytest.param([900, 900, 900], 3, id="large-ones-do-not"),
        pytest.param([5000], 1, id="one-message-is-not-split"),
    ],
)
def test_frames_are_bounded(sizes: list[int], frames: int) -> None:
    """Guards against a frame that its receiver refuses for its size."""
    codec = mesh.make_codec([mesh.Hello])
    messages = [
        mesh.Hello(sender="x" * size, kind="", incarnation="", data_centre="a")
        for size in sizes
    ]
    sent = list(_connection.split_frames(codec, messages, max_bytes=1000))
    assert len(sent) == frames
    received = [each for frame in sent for each in _codec.decode(codec, frame)]
    assert received == messages
