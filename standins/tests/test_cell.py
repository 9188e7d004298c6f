"""Reads of a cell's status by the scenarios."""

import pytest

from standins import cell as cell_module


def test_a_shard_without_an_owner_is_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against scenarios that act on no owner during a hand-over.

    The status has no row of a shard for about 30 ms of a planned hand-over.
    Scenarios that read it then killed or drained an instance without a name,
    or took the shard's epoch for 0.
    """
    newest = {"shard": "s", "owner": "b", "epoch": 5}
    answers = [
        [],
        [{"shard": "other", "owner": "a", "epoch": 9}],
        [{"shard": "s", "owner": "a", "epoch": 4}, newest],
    ]
    monkeypatch.setattr(
        cell_module,
        "call",
        lambda *request: (200, {"shards": answers.pop(0)}),
    )
    assert cell_module.wait_for_row(None, "entry-1", "s") == newest
    assert not answers
