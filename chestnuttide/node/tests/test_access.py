"""Which workspace makes a call, and how long its keys are trusted."""

import json
import math

import pytest

from chestnuttide.node import _access
from chestnuttide.node import _settings
from chestnuttide import platform
from chestnuttide import workloads


def _make_config(version: int, **keys: list[str]) -> platform.ClusterConfig:
    return platform.decode_config(
        json.dumps(
            {
                "version": version,
                "tenants": [
                    {"name": name, "apiKeys": each}
                    for name, each in keys.items()
                ],
            }
        ).encode()
    )


CONFIG = _make_config(1, a=["ka", "kA"], b=["kb"])
WITHOUT = platform.decode_config(b'{"version":1}')
CLOSED = workloads.Queue(name="q", host="h", prefix="/", service="s")
PUBLIC = workloads.Queue(
    name="p", host="h", prefix="/p/", service="s", public=True
)


@pytest.mark.parametrize(
    ("config", "queue", "key", "confirmed", "expected"),
    [
        pytest.param(CONFIG, CLOSED, "ka", True, ("a", ""), id="key"),
        pytest.param(CONFIG, CLOSED, "kb", True, ("b", ""), id="other-key"),
        pytest.param(CONFIG, CLOSED, "", True, ("", "no_key"), id="none"),
        pytest.param(
            CONFIG, CLOSED, "ka ", True, ("", "unknown_key"), id="unknown"
        ),
        pytest.param(
            CONFIG, CLOSED, "a", True, ("", "unknown_key"), id="name-as-key"
        ),
        pytest.param(
            CONFIG, CLOSED, "\udcff", True, ("", "unknown_key"), id="bytes"
        ),
        pytest.param(
            CONFIG,
            CLOSED,
            "ka",
            False,
            ("", "config_unconfirmed"),
            id="unconfirmed",
        ),
        # The key may have come with a version that is not known here.
        pytest.param(
            CONFIG,
            CLOSED,
            "new",
            False,
            ("", "config_unconfirmed"),
            id="unknown-and-unconfirmed",
        ),
        pytest.param(
            CONFIG, CLOSED, "", False, ("", "no_key"), id="none-unconfirmed"
        ),
        pytest.param(CONFIG, PUBLIC, "", False, ("", ""), id="public"),
        pytest.param(CONFIG, PUBLIC, "kb", True, ("", ""), id="public-key"),
        pytest.param(WITHOUT, CLOSED, "", False, ("", ""), id="no-workspaces"),
    ],
)
def test_the_key_decides(
    config: platform.ClusterConfig,
    queue: workloads.Queue,
    key: str,
    confirmed: bool,
    expected: tuple[str, str],
) -> None:
    """Guards against a call that runs without a key in force."""
    access = _access.decide(config, queue, key, confirmed=confirmed)
    assert (access.workspace, access.refusal) == expected
    assert not access.refusal or access.refusal in _access.REFUSALS


@pytest.mark.parametrize(
    ("workspace", "holder", "same_queue", "allowed"),
    [
        ("a", "a", True, True),
        ("a", "a", False, True),
        ("a", "b", True, False),
        ("a", "", False, True),
        ("", "b", True, True),
        ("", "b", False, False),
        ("", "", False, True),
    ],
)
def test_a_job_is_shown_to_its_workspace(
    workspace: str, holder: str, same_queue: bool, allowed: bool
) -> None:
    """Guards against jobs shown to others, and old ones shown to nobody."""
    assert _access.may_see(workspace, holder, same_queue=same_queue) == allowed


@pytest.mark.parametrize(
    ("answered_at", "empty", "expected"),
    [
        pytest.param(11.25, True, 11.2, id="waited-without-change"),
        pytest.param(70.0, True, 11.2, id="paused-while-it-waited"),
        pytest.param(11.1, True, 10.0, id="answered-early"),
        pytest.param(11.25, False, 10.0, id="changes-after-the-wait"),
        pytest.param(10.004, False, 10.0, id="listing"),
    ],
)
def test_what_an_answer_of_the_store_confirms(
    answered_at: float, empty: bool, expected: float
) -> None:
    """Guards against a confirmation of a time that the answer does not cover.

    A process that was paused for long gets the answer late.
    """
    assert (
        _access.confirmed_by_watch(
            sent_at=10.0, answered_at=answered_at, wait_s=1.2, empty=empty
        )
        == expected
    )


@pytest.mark.parametrize(
    ("age_s", "peer_version", "expected"),
    [
        pytest.param(2.0, 7, 8.0, id="same-version"),
        pytest.param(0.0, 6, -math.inf, id="peer-is-behind"),
        pytest.param(0.0, 8, -math.inf, id="newer-version-not-adopted"),
        pytest.param(-1.0, 7, -math.inf, id="former-release"),
        pytest.param(math.nan, 7, -math.inf, id="not-a-number"),
    ],
)
def test_what_a_peer_confirms(
    age_s: float, peer_version: int, expected: float
) -> None:
    """Guards against two cut-off instances that confirm one another."""
    confirmed = _access.confirmed_by_peer(
        sent_at=10.0, age_s=age_s, peer_version=peer_version, known_version=7
    )
    assert confirmed == expected


@pytest.mark.parametrize(
    ("strict", "age_s", "served"),
    [
        pytest.param(True, 4.49, True, id="before-the-limit"),
        pytest.param(True, 4.51, False, id="after-the-limit"),
        pytest.param(True, math.inf, False, id="never-confirmed"),
        pytest.param(False, math.inf, True, id="not-strict"),
    ],
)
def test_keys_are_refused_before_the_bound(
    strict: bool, age_s: float, served: bool
) -> None:
    """Guards against a withdrawn key that runs later than the bound of 5 s."""
    limit_s = _access.confirmation_limit_s(
        _settings.BoundSettings(strict_revoke=strict, revoke_ms=5000.0)
    )
    assert (
        _access.is_confirmed(
            confirmed_at=100.0 - age_s, limit_s=limit_s, now=100.0
        )
        == served
    )


@pytest.mark.parametrize(
    ("former", "config", "changes"),
    [
        pytest.param(None, CONFIG, (3, 0), id="first"),
        pytest.param(
            CONFIG, _make_config(2, a=["ka"], b=["kb"]), (0, 1), id="withdrawn"
        ),
        pytest.param(
            CONFIG,
            _make_config(2, a=["ka"], b=["kb", "kA"]),
            (1, 1),
            id="moved",
        ),
    ],
)
def test_changes_of_keys_are_counted(
    former: platform.ClusterConfig | None,
    config: platform.ClusterConfig,
    changes: tuple[int, int],
) -> None:
    """Guards against an operator who cannot see that a key is gone."""
    assert _access.count_key_changes(former, config) == changes


def test_operators_see_no_keys() -> None:
    """Guards against keys, or what they are found by, on the page."""
    rows = _access.list_workspaces(
        CONFIG, keys_withdrawn=2, confirmed_age_s=math.inf
    )
    text = json.dumps(rows)
    assert [(row["workspace"], row["keys"]) for row in rows] == [
        ("a", 2),
        ("b", 1),
    ]
    assert "ka" not in text
    assert platform.digest_key("ka").hex() not in text
    assert rows[0]["confirmed_age_s"] is None
