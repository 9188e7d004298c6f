"""Loading of settings, and errors for invalid ones."""

import copy
import json
import pathlib

import pytest

from chestnuttide import errors
from chestnuttide.node import _settings

GOOD = {
    "instance": "n1",
    "data_centre": "a",
    "ip": "127.0.0.1",
    "listen": {"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
    "mesh_ports": [3, 4],
    "store": {"address": "127.0.0.1:5"},
}


def _write(folder: pathlib.Path, text: str) -> str:
    path = folder / "settings.jsonc"
    path.write_text(text)
    return str(path)


def test_settings_may_have_comments(tmp_path: pathlib.Path) -> None:
    """Guards against a settings template that fails to load."""
    text = "// the instance\n" + json.dumps(GOOD)
    settings = _settings.load_settings(_write(tmp_path, text))
    assert settings.mesh_ports == (3, 4)
    assert settings.bounds.grace_s == 6.0


@pytest.mark.parametrize(
    ("change", "named"),
    [
        pytest.param({"instanse": "x"}, "instance", id="misspelt-field"),
        pytest.param({"mesh_ports": [9, 3]}, "mesh_ports", id="port-range"),
        pytest.param({"mesh_ports": "x"}, "mesh_ports", id="wrong-type"),
        pytest.param({"log_level": "loud"}, "log_level", id="log-level"),
        pytest.param(
            {"store": {"address": "a:1", "min_lease_ms": 0}},
            "store.min_lease_ms",
            id="nested-field-range",
        ),
        pytest.param(
            {"bounds": {"grace_s": 0}},
            "bounds.grace_s",
            id="grace-period-range",
        ),
        pytest.param(
            {"bounds": {"revoke_ms": 500}},
            "bounds.revoke_ms",
            id="revocation-range",
        ),
    ],
)
def test_invalid_settings_are_refused(
    change: dict[str, object], named: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a daemon that starts with invalid settings."""
    text = json.dumps(copy.deepcopy(GOOD) | change)
    with pytest.raises(errors.SettingsError) as caught:
        _settings.load_settings(_write(tmp_path, text))
    assert named in str(caught.value)


@pytest.mark.parametrize(
    ("bounds", "strict", "revoke_ms"),
    [
        pytest.param({}, False, 5000.0, id="absent"),
        pytest.param(
            {"strict_revoke": None, "revoke_ms": None},
            False,
            5000.0,
            id="null",
        ),
        pytest.param(
            {"strict_revoke": True, "revoke_ms": 3000},
            True,
            3000.0,
            id="given",
        ),
    ],
)
def test_bounds_of_withdrawn_keys_may_be_absent(
    bounds: dict[str, object],
    strict: bool,
    revoke_ms: float,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a deployment without the bounds that does not start."""
    text = json.dumps(copy.deepcopy(GOOD) | {"bounds": bounds})
    loaded = _settings.load_settings(_write(tmp_path, text)).bounds
    assert (loaded.strict_revoke, loaded.revoke_ms) == (strict, revoke_ms)


def test_a_missing_file_names_the_variable(tmp_path: pathlib.Path) -> None:
    """Guards against an error that does not tell where the path comes from."""
    with pytest.raises(errors.SettingsError, match="CHESTNUTTIDE_CONFIG"):
        _settings.load_settings(str(tmp_path / "none"))
