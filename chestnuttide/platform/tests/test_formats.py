"""Tests of decoding documents, most of them malformed."""

import json

import pytest

from chestnuttide import errors
from chestnuttide import model
from chestnuttide import platform
from chestnuttide import workloads

# Deeper than the parser and the interpreter can follow, and just parseable.
TOO_DEEP = b"[" * 5000
DEEP = b"[" * 900 + b"]" * 900

ENTRY = {
    "service": "s1",
    "addr": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 4000, "memMb": 100, "gpu": 0},
    "labels": ["a", "r1-2"],
    "born": 17,
}


def _encode_with(field: str, text: bytes) -> bytes:
    """Return the entry with the JSON text of one field replaced."""
    marker = "replaced"
    document = json.dumps(ENTRY | {field: marker}).encode()
    return document.replace(json.dumps(marker).encode(), text)


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
        pytest.param(b"", id="empty"),
        pytest.param(TOO_DEEP, id="too-deep"),
        pytest.param(b'{"a":' * 5000, id="objects-too-deep"),
        *(
            pytest.param(_encode_with(field, text), id=name)
            for name, field, text in (
                ("deep-state", "state", DEEP),
                ("deep-address", "addr", DEEP),
                ("deep-label", "labels", b"[" + DEEP + b"]"),
                ("infinite-born", "born", b"1e999"),
                ("nan-born", "born", b"NaN"),
                ("born-of-400-digits", "born", b"1" * 400),
                ("born-of-5000-digits", "born", b"1" * 5000),
                ("negative-born", "born", b"-1"),
                ("infinite-remaining", "remainingMs", b"1e999"),
                ("remaining-of-400-digits", "remainingMs", b"1" * 400),
                ("huge-capacity", "capacity", b'{"cpu":' + b"1" * 400 + b"}"),
                ("infinite-capacity", "capacity", b'{"memMb":1e999}'),
                ("lone-surrogate", "service", b'"\\ud800"'),
                ("long-service", "service", b'"' + b"s" * 5000 + b'"'),
            )
        ),
        *(
            pytest.param(json.dumps(ENTRY | change).encode(), id=name)
            for name, change in {
                "port-out-of-range": {"addr": "10.0.0.1:65536"},
                "port-0": {"addr": "10.0.0.1:0"},
                "port-of-many-digits": {"addr": "10.0.0.1:" + "1" * 5000},
                "port-of-other-digits": {"addr": "10.0.0.1:\u0668\u0660"},
                "host-name": {"addr": "worker:80"},
                "address-with-header": {"addr": "10.0.0.1\r\nx: y:80"},
                "labels-as-text": {"labels": "abc"},
                "labels-as-object": {"labels": {"a": 1}},
                "born-as-boolean": {"born": True},
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
    """Guards against one malformed entry that prevents reading the rest.

    Deeply nested entries and infinite numbers ended the watch of the workers,
    and with it the ownership, on each instance in turn.
    """
    with pytest.raises(errors.ProtocolError) as caught:
        platform.decode_worker("w1", value)
    # An error that quotes the entry would fill the log.
    assert len(str(caught.value)) < 500


@pytest.mark.parametrize(
    "worker_id",
    [
        pytest.param("", id="empty"),
        pytest.param("w 1", id="space"),
        pytest.param("w\r\nFence: 1", id="line-break"),
        pytest.param("w\u00e9", id="not-ascii"),
    ],
)
def test_an_id_that_cannot_be_sent_names_no_worker(worker_id: str) -> None:
    """Guards against ids that break the header of each call to a worker."""
    with pytest.raises(errors.ProtocolError):
        platform.decode_worker(worker_id, json.dumps(ENTRY).encode())


ROUTE = {"name": "q", "host": "h", "prefix": "/q/", "service": "s"}


def _encode_route(change: dict[str, object]) -> bytes:
    return json.dumps({"version": 1, "routes": [ROUTE | change]}).encode()


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{}",
        b'{"version":1,"routes":[{}]}',
        b'{"version":"x"}',
        pytest.param(TOO_DEEP, id="too-deep"),
        pytest.param(b'{"version":1e999}', id="infinite-version"),
        pytest.param(b'{"version":1,"routes":7}', id="routes-as-number"),
        pytest.param(_encode_route({"name": ["q"]}), id="name-as-list"),
        pytest.param(_encode_route({"priority": 1e999}), id="priority"),
        pytest.param(_encode_route({"stretch": 10**400}), id="stretch"),
        pytest.param(_encode_route({"advice": [1]}), id="advice-as-list"),
        pytest.param(
            _encode_route(
                {"advice": {"decideMs": -1, "eachMs": 1, "validityMs": 1}}
            ),
            id="negative-duration",
        ),
    ],
)
def test_malformed_config_is_rejected(value: bytes) -> None:
    """Guards against a daemon that exits on a malformed configuration."""
    with pytest.raises(errors.ProtocolError):
        platform.decode_config(value)


def _encode_tenants(*tenants: object) -> bytes:
    return json.dumps({"version": 1, "tenants": tenants}).encode()


def test_workspaces_and_keys_are_decoded() -> None:
    """Guards against a key or a cap that is read as another one."""
    config = platform.decode_config(
        _encode_tenants(
            {"name": "a", "apiKeys": ["k1", "k2"], "weight": 2.5},
            {"name": "b", "cap": {"cpu": 7, "memMb": 0}},
        )
    )
    assert config.workspaces == (
        workloads.Workspace(name="a", weight=2.5),
        workloads.Workspace(name="b", cap=model.Resources(cpu_millis=7)),
    )
    assert config.keys == {
        platform.digest_key("k1"): "a",
        platform.digest_key("k2"): "a",
    }


@pytest.mark.parametrize(
    ("document", "workspaces"),
    [
        pytest.param(b'{"version":1}', None, id="absent"),
        pytest.param(b'{"version":1,"tenants":null}', None, id="null"),
        pytest.param(b'{"version":1,"tenants":[]}', (), id="all-removed"),
    ],
)
def test_only_a_document_with_workspaces_asks_for_keys(
    document: bytes, workspaces: tuple[()] | None
) -> None:
    """Guards against calls refused where a deployment has no workspaces.

    A version that removes the last one withdraws its keys.
    """
    assert platform.decode_config(document).workspaces == workspaces


SECRET = "s3cret-of-a"


@pytest.mark.parametrize(
    "tenants",
    [
        pytest.param(
            [
                {"name": "a", "apiKeys": [SECRET]},
                {"name": "b", "apiKeys": [SECRET]},
            ],
            id="one-key-in-two",
        ),
        pytest.param([{"name": "a", "apiKeys": [SECRET, ""]}], id="empty-key"),
        pytest.param([{"name": "a"}, {"name": "a"}], id="one-name-twice"),
        pytest.param([{"apiKeys": [SECRET]}], id="no-name"),
        pytest.param([{"name": "a", "cap": {"cpu": -1}}], id="negative-cap"),
        pytest.param([{"name": "a", "cap": [SECRET]}], id="cap-as-list"),
        pytest.param([{"name": "a", "weight": -1}], id="negative-weight"),
        pytest.param([{"name": "a", "apiKeys": SECRET}], id="keys-as-text"),
        pytest.param([{"name": "a", "apiKeys": [[SECRET]]}], id="key-as-list"),
        pytest.param([SECRET], id="tenant-as-text"),
    ],
)
def test_bad_workspaces_spoil_the_configuration(tenants: object) -> None:
    """Guards against half a configuration in force, and a key in the log."""
    with pytest.raises(errors.ProtocolError) as caught:
        platform.decode_config(_encode_tenants(*tenants))
    assert SECRET not in str(caught.value)


def test_a_configuration_does_not_print_its_keys() -> None:
    """Guards against keys, or what they are found by, in logs."""
    config = platform.decode_config(
        _encode_tenants({"name": "a", "apiKeys": [SECRET]})
    )
    assert SECRET not in repr(config)
    assert repr(platform.digest_key(SECRET)) not in repr(config)


def test_a_known_version_is_not_decoded_again() -> None:
    """Guards against an instance that spends its time on old documents."""
    value = _encode_route({})
    assert platform.decode_config(value, known_version=1) is None
    assert platform.decode_config(value, known_version=0).version == 1


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        pytest.param("h", "/q/x", "short", id="prefix"),
        pytest.param("h", "/q/r/x", "long", id="longest-prefix-wins"),
        pytest.param("H:80", "/q/x", "short", id="port-and-capitals"),
        pytest.param("i", "/q/r/x", "other", id="host-decides"),
        pytest.param("h", "/r/x", None, id="no-prefix"),
        pytest.param("j", "/q/x", None, id="no-host"),
        pytest.param("h", "/q", None, id="path-too-short"),
    ],
)
def test_a_queue_is_found(host: str, path: str, name: str | None) -> None:
    """Guards against a call that reaches another queue through the index."""
    rows = [("short", "h", "/q/"), ("long", "h", "/q/r/"), ("other", "i", "/")]
    config = platform.decode_config(
        json.dumps(
            {
                "version": 1,
                "routes": [
                    ROUTE | {"name": name, "host": host, "prefix": prefix}
                    for name, host, prefix in rows
                ],
            }
        ).encode()
    )
    queue = platform.find_queue(config, host, path)
    assert (queue.name if queue else None) == name


QUEUE = workloads.Queue(name="q", host="h", prefix="/q/", service="s")


def _encode_step(change: dict[str, object]) -> bytes:
    return json.dumps({"steps": [{"count": 1} | change]}).encode()


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(TOO_DEEP, id="too-deep"),
        pytest.param(b'{"steps":[{"count":1e999}]}', id="infinite-count"),
        pytest.param(_encode_step({"count": 0}), id="no-tasks"),
        pytest.param(_encode_step({"count": "2"}), id="count-as-text"),
        pytest.param(_encode_step({"cpu": 10**400}), id="huge-need"),
        pytest.param(_encode_step({"gpu": -1}), id="negative-need"),
        pytest.param(
            _encode_step({"estRuntimeMs": float("nan")}), id="nan-estimate"
        ),
        pytest.param(_encode_step({"constraints": "\ud800"}), id="surrogate"),
        pytest.param(_encode_step({"image": "i" * 5000}), id="long-image"),
        pytest.param(_encode_step({"after": [0]}), id="after-itself"),
        pytest.param(_encode_step({"after": 7}), id="after-as-number"),
        pytest.param(b'{"steps":[7]}', id="step-as-number"),
        pytest.param(b'{"steps":[]}', id="no-steps"),
    ],
)
def test_an_unusable_job_is_refused(body: bytes) -> None:
    """Guards against a job that is stored and then ends its owner's loops.

    Callers were answered 502 for some of these jobs and sent them again.
    """
    with pytest.raises(errors.RefusedError) as caught:
        platform.decode_job(body, job_id="j", queue=QUEUE, now_unix_s=0.0)
    assert caught.value.reason == errors.Reason.MALFORMED


def test_whole_numbers_may_have_a_fraction_of_zero() -> None:
    """Guards against a refusal of jobs whose encoder writes 2 as 2.0."""
    job = platform.decode_job(
        _encode_step({"count": 2.0}), job_id="j", queue=QUEUE, now_unix_s=0.0
    )
    assert job.steps[0].count == 2
