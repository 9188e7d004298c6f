"""Tests of decoding documents, most of them malformed."""

import json

import pytest

from chestnuttide import errors
from chestnuttide import platform

ENTRY = {
    "service": "s1",
    "addr": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 4000, "memMb": 100, "gpu": 0},
    "labels": ["a", "r1-2"],
    "born": 17,
}


def test_decode_worker() -> None:
    """Guards against a misread capacity, rack or incarnation."""
    report = platform.decode_worker("w1", json.dumps(ENTRY).encode())
    assert (report.id, report.born_ms, report.rack) == ("w1", 17, "r1-2")
    assert report.capacity.cpu_millis == 4000
    assert not report.draining


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"\xff\xfe", id="invalid-utf-8"),
        pytest.param(b"[]", id="list-instead-of-object"),
        *(
            pytest.param(json.dumps(ENTRY | change).encode(), id=name)
            for name, change in {
                "unknown-state": {"state": "odd"},
                "service-of-wrong-type": {"service": 7},
                "address-without-port": {"addr": "10.0.0.1"},
                "capacity-as-string": {"capacity": {"cpu": "many"}},
                "negative-capacity": {"capacity": {"cpu": -1}},
                "null-capacity": {"capacity": None},
                "labels-of-wrong-type": {"labels": [1]},
                "born-as-string": {"born": "today"},
            }.items()
        ),
    ],
)
def test_malformed_worker_entry_is_rejected(value: bytes) -> None:
    """Guards against one malformed entry that prevents reading the rest."""
    with pytest.raises(errors.ProtocolError):
        platform.decode_worker("w1", value)


@pytest.mark.parametrize(
    "value",
    [b"", b"{}", b'{"version":1,"routes":[{}]}', b'{"version":"x"}'],
)
def test_malformed_config_is_rejected(value: bytes) -> None:
    """Guards against a daemon that exits on a malformed configuration."""
    with pytest.raises(errors.ProtocolError):
        platform.decode_config(value)
