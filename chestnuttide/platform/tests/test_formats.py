"""Documents of the platform that are odd or cannot be read."""

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


def test_a_workers_entry() -> None:
    """Guards against a misread capacity, rack or lifetime."""
    report = platform.decode_worker("w1", json.dumps(ENTRY).encode())
    assert (report.id, report.born_ms, report.rack) == ("w1", 17, "r1-2")
    assert report.capacity.cpu_millis == 4000
    assert not report.draining


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"\xff\xfe", id="bytes"),
        pytest.param(b"[]", id="list"),
        *(
            pytest.param(json.dumps(ENTRY | change).encode(), id=name)
            for name, change in {
                "unknown-state": {"state": "odd"},
                "service-of-another-type": {"service": 7},
                "address-without-port": {"addr": "10.0.0.1"},
                "capacity-as-text": {"capacity": {"cpu": "many"}},
                "capacity-below-zero": {"capacity": {"cpu": -1}},
                "no-capacity": {"capacity": None},
                "labels-of-another-type": {"labels": [1]},
                "born-as-text": {"born": "today"},
            }.items()
        ),
    ],
)
def test_an_entry_that_names_no_worker(value: bytes) -> None:
    """Guards against one bad entry that stops the reading of others."""
    with pytest.raises(errors.ProtocolError):
        platform.decode_worker("w1", value)


@pytest.mark.parametrize(
    "value",
    [b"", b"{}", b'{"version":1,"routes":[{}]}', b'{"version":"x"}'],
)
def test_a_config_that_cannot_be_read(value: bytes) -> None:
    """Guards against a daemon that ends because of a bad configuration."""
    with pytest.raises(errors.ProtocolError):
        platform.decode_config(value)
