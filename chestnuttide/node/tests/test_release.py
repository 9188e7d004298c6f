"""Release of an ownership through peers while the store is away."""

import asyncio

import pytest

from chestnuttide import errors
from chestnuttide.node import _messages
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide.node import _release
from chestnuttide.node import _session
from chestnuttide.workloads.tests import _world

NOT_CONNECTED = errors.PeerNotConnectedError(message="closed", remedy="wait")
UNANSWERED = errors.MeshError(message="silent", remedy="wait")


def _make_owner() -> _ownership.Ownership:
    return _ownership.Ownership(
        service="s",
        fencing_token=7,
        session=_session.Session(settings=None, store=None, peers=None),
        store=None,
        workers_http=None,
        pool=_world.make_pool(1),
        metrics=None,
    )


@pytest.mark.parametrize(
    ("outcomes", "deposed"),
    [
        pytest.param([False, False], False, id="no-peer-reaches-the-store"),
        pytest.param([False, True], True, id="a-peer-has-released"),
        pytest.param([NOT_CONNECTED, False], False, id="one-was-not-asked"),
        pytest.param([UNANSWERED, False], True, id="one-may-still-release"),
    ],
)
def test_an_owner_goes_on_unless_a_peer_may_release_it(
    monkeypatch: pytest.MonkeyPatch,
    outcomes: list[bool | errors.MeshError],
    deposed: bool,
) -> None:
    """Guards against an ownership that ends in an outage for all.

    A connection that had just closed counted as an unanswered call, so all
    runs of a service expired while the store was away.
    """
    by_peer = dict(zip(("a", "b"), outcomes, strict=True))

    async def call(
        peers: object, name: str, make_message: object
    ) -> _messages.ReleaseReply:
        outcome = by_peer[name]
        if isinstance(outcome, errors.MeshError):
            raise outcome
        return _messages.ReleaseReply(call_id=1, released=outcome)

    monkeypatch.setattr(_peers, "call", call)
    monkeypatch.setattr(_peers, "connected_names", lambda peers: list(by_peer))
    owner = _make_owner()
    asyncio.run(_release.release_through_peer(owner))
    assert owner.deposed.is_set() is deposed
    assert owner.releasing is deposed
