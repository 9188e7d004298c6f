"""Release of an ownership through peers while the store is unavailable."""

import asyncio
import time
import types

import pytest

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _commits
from chestnuttide.node import _messages
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide.node import _release
from chestnuttide.node import _session
from chestnuttide import platform
from chestnuttide.workloads.tests import _pool_fixtures

NOT_CONNECTED = errors.PeerNotConnectedError(
    message="not connected", remedy="wait"
)
NO_ANSWER = errors.StoreUnavailableError(message="no answer", remedy="wait")
UNANSWERED = errors.MeshError(message="unanswered", remedy="wait")


def _make_owner(**fields: object) -> _ownership.Ownership:
    fields.setdefault("former_owner_stopped", True)
    return _ownership.Ownership(
        service="s",
        fencing_token=7,
        session=_session.Session(
            settings=None,
            store=None,
            peers=None,
            count_unreadable=lambda kind: None,
        ),
        store=types.SimpleNamespace(failing_since=1.0),
        workers_http=None,
        pool=_pool_fixtures.make_pool(1),
        metrics=_metrics.make_metrics(),
        **fields,
    )


@pytest.mark.parametrize(
    ("outcomes", "deposed"),
    [
        pytest.param([False, False], False, id="no-peer-released"),
        pytest.param([False, True], True, id="a-peer-released"),
        pytest.param(
            [NOT_CONNECTED, False], False, id="a-peer-was-not-connected"
        ),
        pytest.param([UNANSWERED, False], True, id="a-peer-did-not-answer"),
    ],
)
def test_an_owner_continues_unless_a_peer_may_release_it(
    monkeypatch: pytest.MonkeyPatch,
    outcomes: list[bool | errors.MeshError],
    deposed: bool,
) -> None:
    """Guards against lost ownerships while no instance reaches the store.

    A call over a connection that had just closed counted as unanswered. The
    owner stopped, and all runs of its service expired during the outage.
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


@pytest.mark.parametrize(
    "peers",
    [
        pytest.param(1, id="one-peer"),
        pytest.param(98, id="as-many-as-the-largest-site"),
    ],
)
def test_an_owner_renews_leases_while_all_peers_refuse_to_release_it(
    peers: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against runs that expire while the store answers 503 for seconds.

    No command was sent while each of 98 peers was asked in turn, and they were
    asked again 0.1 s later.
    """
    calls: list[float] = []
    pauses: list[float] = []

    async def call(
        peers: object, name: str, make_message: object
    ) -> _messages.ReleaseReply:
        calls.append(_clock.now())
        await asyncio.sleep(0.01)
        return _messages.ReleaseReply(call_id=1, released=False)

    async def read_key(store: object, key: str) -> None:
        raise platform.StoreRefusedError(message="503", remedy="wait")

    async def observe(owner: _ownership.Ownership) -> None:
        allowed_at = owner.confirmed_at
        while _clock.now() < owner.confirmed_at + 2.5:
            await asyncio.sleep(0.002)
            now = _clock.now()
            if _ownership.may_send_commands(owner):
                pauses.append(now - allowed_at)
                allowed_at = now

    async def main() -> None:
        owner = _make_owner()
        owner.confirmed_at = _clock.now()
        loop = asyncio.ensure_future(_release.confirm_loop(owner))
        await observe(owner)
        loop.cancel()
        assert not owner.deposed.is_set()

    names = [f"i{number}" for number in range(peers)]
    monkeypatch.setattr(_peers, "call", call)
    monkeypatch.setattr(_peers, "connected_names", lambda _: names)
    monkeypatch.setattr(platform, "read_key", read_key)
    asyncio.run(main())
    # Asked again, as peers may reach the store by then.
    assert calls[-1] - calls[0] > 0.5
    assert len(calls) <= 3 * min(peers, _release.MAX_PEERS_ASKED)
    # A poll that renews a lease is tried each 0.25 s.
    assert max(pauses) < 0.5
    assert sum(pause for pause in pauses if pause > 0.05) < 0.5


def test_a_handed_over_service_is_recorded_as_released(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a successor that waits for an owner that has stopped.

    Without the record, runs on workers that do not answer are taken as lost
    only 5 s later.
    """
    committed: list[platform.Transaction] = []

    async def commit(
        store: object, transaction: platform.Transaction, **_: object
    ) -> int:
        assert owner.deposed.is_set()
        committed.append(transaction)
        return 9

    monkeypatch.setattr(platform, "commit", commit)
    owner = _make_owner()
    asyncio.run(_release.hand_over(owner))
    (transaction,) = committed
    assert transaction.expect == {"cell/owners/s": 7}
    assert transaction.remove == ("cell/owners/s",)
    assert transaction.put == {"cell/released/s": b"7"}


@pytest.mark.parametrize(
    ("former_calls_left_s", "fields", "least_s", "most_s"),
    [
        pytest.param(None, {}, 5.0, 5.0, id="before-its-takeover"),
        pytest.param(
            None,
            {"former_owner_stopped": True, "former_calls_s": 2.0},
            2.0,
            2.0,
            id="before-its-takeover-from-an-owner-that-stopped",
        ),
        pytest.param(1.0, {}, 0.5, 1.0, id="within-a-former-authority"),
        pytest.param(-0.1, {}, 0.0, 0.0, id="after-all-former-authorities"),
    ],
)
@pytest.mark.parametrize(
    "through_peer",
    [
        pytest.param(False, id="by-itself"),
        pytest.param(True, id="through-a-peer"),
    ],
)
def test_a_release_records_how_long_former_owners_may_go_on(
    monkeypatch: pytest.MonkeyPatch,
    former_calls_left_s: float | None,
    fields: dict[str, object],
    least_s: float,
    most_s: float,
    through_peer: bool,
) -> None:
    """Guards against two runs behind an owner that was cut from the store.

    A successor that released the service while that owner still renewed
    leases hid it from the next one, which waited for its own leases only.
    """
    committed: list[platform.Transaction] = []

    async def commit(
        store: object, transaction: platform.Transaction, **_: object
    ) -> int:
        committed.append(transaction)
        return 9

    async def call(
        peers: object, name: str, make_message: object
    ) -> _messages.ReleaseReply:
        peer = _make_owner().session
        peer.store = types.SimpleNamespace(
            failing_since=0.0, last_response_at=time.monotonic()
        )
        return await _release.release_for_peer(peer, make_message(1))

    monkeypatch.setattr(platform, "commit", commit)
    monkeypatch.setattr(_peers, "call", call)
    monkeypatch.setattr(_peers, "connected_names", lambda peers: ["b"])
    owner = _make_owner(**{"former_owner_stopped": False, **fields})
    if former_calls_left_s is not None:
        owner.pool.former_calls_until = _clock.now() + former_calls_left_s
    release = _release.hand_over
    if through_peer:
        release = _release.release_through_peer
    asyncio.run(release(owner))
    (transaction,) = committed
    key = "cell/released/s"
    record = _session.decode_release(
        platform.Item(key=key, value=transaction.put[key])
    )
    assert record.fencing_token == 7
    assert least_s <= record.former_calls_ms / 1000 <= most_s


@pytest.mark.parametrize(
    "stored",
    [
        pytest.param(None, id="stored"),
        pytest.param(NO_ANSWER, id="pending-changes-fail"),
        pytest.param(ValueError("fault"), id="fault-in-a-record"),
    ],
)
@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(None, id="released"),
        pytest.param(NO_ANSWER, id="answer-lost"),
        pytest.param(platform.ConditionError(()), id="not-the-owner"),
    ],
)
def test_an_ownership_ends_whatever_becomes_of_its_release(
    stored: Exception | None,
    answer: Exception | None,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an owner that plans nothing and keeps its service."""

    async def commit_all(owner: _ownership.Ownership) -> None:
        if stored is not None:
            raise stored

    async def commit(store: object, transaction: object) -> int:
        if answer is not None:
            raise answer
        return 9

    monkeypatch.setattr(_commits, "commit_all", commit_all)
    monkeypatch.setattr(platform, "commit", commit)
    owner = _make_owner()
    session = owner.session
    session.owners["s"] = _session.Owner(
        instance="a", incarnation="a", fencing_token=7
    )
    assert asyncio.run(_release.hand_over(owner)) is (answer is None)
    assert owner.deposed.is_set()
    # Known at once, so that the instance does not claim it as a failed one.
    assert ("s" in session.owners) is (answer is not None)
    assert ("s" in session.former_owners) is (answer is None)
