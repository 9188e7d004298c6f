import pytest

from chestnuttide.entry import _owners
from chestnuttide import mesh


class _Connection:
    """Stands for a mesh connection; only its peer is looked at."""

    def __init__(self, name: str) -> None:
        self.peer = mesh.Hello(
            sender=name, kind="scheduler", incarnation="1", data_centre="d"
        )


_A = _Connection("a")
_B = _Connection("b")


def _owned(*shards: tuple[str, int], draining: bool = False) -> object:
    return mesh.OwnedShards(shards=shards, draining=draining)


@pytest.mark.parametrize(
    ("steps", "owner"),
    [
        pytest.param([(_A, _owned(("s", 1)))], _A, id="owner_unknown"),
        pytest.param(
            [(_A, _owned(("s", 1))), (_B, _owned(("s", 2)))],
            _B,
            id="successor_unknown",
        ),
        pytest.param(
            [(_B, _owned(("s", 2))), (_A, _owned(("s", 1)))],
            _B,
            id="former_owner_wins_by_a_late_message",
        ),
        pytest.param(
            [(_A, _owned(("s", 1))), (_A, _owned())],
            None,
            id="released_shard_keeps_its_owner",
        ),
        pytest.param(
            [(_A, _owned(("s", 1))), (_A, None)],
            None,
            id="lost_connection_keeps_its_shards",
        ),
    ],
)
def test_owner(steps: list[tuple], owner: object) -> None:
    owners = _owners.Owners()
    for connection, message in steps:
        if message is None:
            _owners.drop_connection(owners, connection)
        else:
            _owners.take_owned(owners, connection, message)
    assert _owners.owner_of(owners, "s") is owner


@pytest.mark.parametrize(
    ("sender", "message", "former"),
    [
        pytest.param(_B, _owned(("s", 2)), [_A], id="former_owner_kept"),
        pytest.param(_A, _owned(("s", 2)), [], id="owner_replaces_itself"),
        pytest.param(_B, _owned(("s", 0)), [], id="late_message_replaces"),
        pytest.param(_B, _owned(("t", 1)), [], id="other_shard_replaces"),
    ],
)
def test_replaced_owners(
    sender: _Connection, message: object, former: list[object]
) -> None:
    owners = _owners.Owners()
    _owners.take_owned(owners, _A, _owned(("s", 1)))
    assert _owners.take_owned(owners, sender, message) == former


def test_draining_scheduler_is_known() -> None:
    owners = _owners.Owners()
    _owners.take_owned(owners, _A, _owned(draining=True))
    assert owners.draining == {"a"}
    _owners.take_owned(owners, _A, _owned())
    assert not owners.draining
