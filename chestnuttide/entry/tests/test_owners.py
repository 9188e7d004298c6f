import pytest

from chestnuttide.entry import _owners
from chestnuttide import mesh


class _Connection:
    """Stand-in for a mesh connection that has only a peer."""

    def __init__(self, name: str) -> None:
        self.peer = mesh.Hello(
            sender=name, kind="scheduler", incarnation="1", data_centre="d"
        )


_CONNECTION_A = _Connection("a")
_CONNECTION_B = _Connection("b")


def _make_owned(*shards: tuple[str, int], draining: bool = False) -> object:
    return mesh.OwnedShards(shards=shards, draining=draining)


@pytest.mark.parametrize(
    ("steps", "owner"),
    [
        pytest.param(
            [(_CONNECTION_A, _make_owned(("s", 1)))],
            _CONNECTION_A,
            id="first_owner_is_ignored",
        ),
        pytest.param(
            [
                (_CONNECTION_A, _make_owned(("s", 1))),
                (_CONNECTION_B, _make_owned(("s", 2))),
            ],
            _CONNECTION_B,
            id="new_owner_is_ignored",
        ),
        pytest.param(
            [
                (_CONNECTION_B, _make_owned(("s", 2))),
                (_CONNECTION_A, _make_owned(("s", 1))),
            ],
            _CONNECTION_B,
            id="late_message_of_former_owner_wins",
        ),
        pytest.param(
            [
                (_CONNECTION_A, _make_owned(("s", 1))),
                (_CONNECTION_A, _make_owned()),
            ],
            None,
            id="released_shard_keeps_its_owner",
        ),
        pytest.param(
            [(_CONNECTION_A, _make_owned(("s", 1))), (_CONNECTION_A, None)],
            None,
            id="closed_connection_keeps_its_shards",
        ),
    ],
)
def test_known_owner(steps: list[tuple], owner: object) -> None:
    """Guards against calls that are sent to a wrong or former owner."""
    owners = _owners.Owners()
    for connection, message in steps:
        if message is None:
            _owners.drop_connection(owners, connection)
        else:
            _owners.update_owned_shards(owners, connection, message)
    assert _owners.find_owner(owners, "s") is owner


@pytest.mark.parametrize(
    ("sender", "message", "former"),
    [
        pytest.param(
            _CONNECTION_B,
            _make_owned(("s", 2)),
            [_CONNECTION_A],
            id="former_owner_is_not_returned",
        ),
        pytest.param(
            _CONNECTION_A,
            _make_owned(("s", 2)),
            [],
            id="owner_is_returned_as_its_own_former",
        ),
        pytest.param(
            _CONNECTION_B,
            _make_owned(("s", 0)),
            [],
            id="late_message_replaces_owner",
        ),
        pytest.param(
            _CONNECTION_B,
            _make_owned(("t", 1)),
            [],
            id="other_shard_replaces_owner",
        ),
    ],
)
def test_former_owners_are_returned(
    sender: _Connection, message: object, former: list[object]
) -> None:
    """Guards against calls that keep waiting for a replaced owner."""
    owners = _owners.Owners()
    _owners.update_owned_shards(owners, _CONNECTION_A, _make_owned(("s", 1)))
    assert _owners.update_owned_shards(owners, sender, message) == former


def test_draining_scheduler_is_tracked() -> None:
    """Guards against an entry that is ready beside a draining scheduler."""
    owners = _owners.Owners()
    _owners.update_owned_shards(
        owners, _CONNECTION_A, _make_owned(draining=True)
    )
    assert owners.draining == {"a"}
    _owners.update_owned_shards(owners, _CONNECTION_A, _make_owned())
    assert not owners.draining
