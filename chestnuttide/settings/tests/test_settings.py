import json
import pathlib

import attrs
import pytest

from chestnuttide import errors
from chestnuttide import settings

_EXAMPLES_DIR = pathlib.Path(__file__).parents[3] / "examples"
_MINIMAL = {
    "instance_id": "a-1",
    "data_centre": "dc-1",
    "advertise_ip": "127.0.0.1",
    "platform": {
        "store_address": "127.0.0.1:2379",
        "instance_list_address": "127.0.0.1:8500",
    },
}


def _minimal_with(path: str, value: object) -> dict:
    document = json.loads(json.dumps(_MINIMAL))
    parent = document
    *parents, name = path.split(".")
    for key in parents:
        parent = parent.setdefault(key, {})
    parent[name] = value
    return document


@pytest.mark.parametrize(
    ("name", "data_centre"),
    [
        pytest.param("karoo", "beaufort-west", id="karoo_does_not_load"),
        pytest.param("bangkok", "bang-na", id="bangkok_does_not_load"),
    ],
)
def test_load_accepts_example_file(name: str, data_centre: str) -> None:
    loaded = settings.load(_EXAMPLES_DIR / f"{name}.jsonc")
    assert loaded.data_centre == data_centre
    assert loaded.coordination.lease_renew_s == 0.6


def test_defaults() -> None:
    loaded = settings.parse(json.dumps(_MINIMAL), "minimal")
    assert loaded.mesh.heartbeat_s == 1.0
    assert loaded.coordination == settings.CoordinationSettings(
        lease_ttl_s=2.0,
        lease_renew_s=0.6,
        promise_s=3.0,
        worker_sync_s=2.0,
        store_grace_s=1.0,
        stop_grace_s=30.0,
    )


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        pytest.param(
            "entry.http_port",
            70_000,
            ["entry.http_port", "70000", ">= 1 and <= 65535"],
            id="port_range_not_named",
        ),
        pytest.param(
            "entry.http_port",
            "8080",
            ["entry.http_port", "'8080'", "a whole number >= 1"],
            id="string_accepted_as_number",
        ),
        pytest.param(
            "entry.http_port",
            True,
            ["entry.http_port", "True", "a whole number"],
            id="boolean_accepted_as_number",
        ),
        pytest.param(
            "mesh.heartbeat_s",
            float("nan"),
            ["mesh.heartbeat_s", "nan", ">= 0.05 and <= 10.0"],
            id="nan_passes_range",
        ),
        pytest.param(
            "mesh.heartbeats",
            1,
            ["mesh.heartbeats", "Did you mean mesh.heartbeat_s?"],
            id="nearest_key_not_suggested",
        ),
        pytest.param(
            "zzz", 1, ["zzz", "Remove it"], id="unknown_key_accepted"
        ),
        pytest.param(
            "mesh", [], ["mesh", "an object"], id="list_accepted_as_object"
        ),
        pytest.param(
            "platform",
            {"store_address": "127.0.0.1:1"},
            ["platform.instance_list_address", "is missing", "ip:port"],
            id="missing_field_not_named",
        ),
        pytest.param(
            "platform.store_address",
            "store.example:2379",
            ["platform.store_address", "ip:port"],
            id="host_name_accepted_as_ip",
        ),
        pytest.param(
            "advertise_ip",
            "127.0.0.1:80",
            ["advertise_ip", "IP address"],
            id="port_in_ip",
        ),
        pytest.param(
            "instance_id",
            "a/b",
            ["instance_id", "'a/b'"],
            id="slash_in_instance_id_splits_store_key",
        ),
        pytest.param(
            "logging.log_level",
            "loud",
            ["logging.log_level", "out of debug, info, warning, error"],
            id="unknown_log_level",
        ),
        pytest.param(
            "coordination.lease_renew_s",
            1.0,
            ["coordination.lease_renew_s", "1.0", "coordination.lease_ttl_s"],
            id="lease_expires_after_one_lost_renewal",
        ),
        pytest.param(
            "scheduler.mesh_port",
            8080,
            ["scheduler.mesh_port", "8080", "entry.http_port"],
            id="two_listeners_on_one_port",
        ),
    ],
)
def test_error_reports_field_value_range_and_remedy(
    path: str, value: object, expected: list[str]
) -> None:
    text = json.dumps(_minimal_with(path, value))
    with pytest.raises(errors.SettingsError) as error_info:
        settings.parse(text, "some.jsonc")
    for part in ["some.jsonc", *expected]:
        assert part in str(error_info.value)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        pytest.param(
            '{"a": @}', "not JSON after", id="syntax_error_not_explained"
        ),
        pytest.param(
            '{"a": 1, "a": 2}', "twice", id="last_duplicate_key_wins"
        ),
        pytest.param("[]", "an object", id="top_level_list"),
    ],
)
def test_parse_rejects_malformed_text(text: str, expected: str) -> None:
    with pytest.raises(errors.SettingsError, match=expected):
        settings.parse(text, "some.jsonc")


def test_load_error_names_missing_file() -> None:
    with pytest.raises(errors.SettingsError, match="absent.jsonc"):
        settings.load("/nonexistent/absent.jsonc")


def test_reference_documents_every_field() -> None:
    text = settings.render_reference()
    for cls in (
        settings.EntrySettings,
        settings.SchedulerSettings,
        settings.PlatformSettings,
        settings.MeshSettings,
        settings.CoordinationSettings,
        settings.LoggingSettings,
    ):
        for field in attrs.fields(cls):
            assert f"| `{field.name}` | " in text
    assert (
        "| `http_port` | `8080` | a whole number >= 1 and <= 65535 |" in text
    )
