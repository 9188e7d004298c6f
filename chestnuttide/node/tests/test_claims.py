"""Order in which instances claim a service, and what they take over."""

import asyncio
import collections.abc
import functools
import typing

import cbor2
import pytest

from chestnuttide import errors
from chestnuttide.node import _claims
from chestnuttide.node import _keys
from chestnuttide.node import _session
from chestnuttide.node import _settings
from chestnuttide.node.tests import _session_fixtures
from chestnuttide import platform
from chestnuttide.platform import _http
from standins import cloud

SERVICE = "layout"


def _make_session(
    cores: dict[str, float],
    *,
    former: str = "",
    own_cores: float = 1.0,
    owners: tuple[str, ...] = (),
) -> _session.Session:
    """Return the session of the instance ``a``, which joined at time 0."""
    session = _session.Session(
        settings=_settings.NodeSettings(
            instance="a",
            data_centre="d",
            ip="127.0.0.1",
            listen=_settings.Listen(callers="", readiness=""),
            mesh_ports=(1, 1),
            store=_settings.StoreSettings(address=""),
            capacity=_settings.CapacitySettings(core_share=own_cores),
        ),
        store=None,
        peers=None,
        count_unreadable=lambda kind: None,
        lease=1,
        cell_known=True,
    )
    for name, amount in cores.items():
        session.members[name] = _session.Member(
            address="", cores=amount, link_mbps=10.0
        )
    if former:
        session.former_owners[SERVICE] = _session.Owner(
            instance=former, incarnation="", fencing_token=1
        )
    for number, name in enumerate(owners):
        session.owners[f"other-{number}"] = _session.Owner(
            instance=name, incarnation="", fencing_token=1
        )
    return session


@pytest.mark.parametrize(
    ("cores", "former", "first"),
    [
        pytest.param({"a": 0.5, "b": 2.0}, "", "b", id="larger"),
        pytest.param({"a": 0.5, "b": 2.0}, "b", "a", id="former-owner-last"),
        pytest.param({"a": 2.0, "b": 0.5}, "", "a", id="own"),
    ],
)
def test_the_largest_live_instance_claims_first(
    cores: dict[str, float], former: str, first: str
) -> None:
    """Guards against owners on instances that are too small for the load."""
    session = _make_session(cores, former=former)
    assert _claims.rank_members(session, SERVICE)[0] == first


@pytest.mark.parametrize(
    ("cores", "owners", "last"),
    [
        pytest.param([2.0, 2.0, 2.0], ("a",), "a", id="one-owns"),
        pytest.param([2.0, 2.0, 2.0], ("b",), "b", id="another-owns"),
        pytest.param(
            [2.0, 2.0, 2.0], ("a", "b", "c", "c"), "c", id="one-owns-most"
        ),
        pytest.param([2.0, 2.0, 0.5], ("a",), "c", id="smaller-all-the-same"),
    ],
)
def test_the_least_used_of_equal_size_claims_first(
    cores: list[float], owners: tuple[str, ...], last: str
) -> None:
    """Guards against one instance with two services beside an idle one."""
    sizes = dict(zip("abc", cores, strict=True))
    session = _make_session(sizes, owners=owners)
    for number in range(10):
        assert _claims.rank_members(session, f"s{number}")[-1] == last


@pytest.mark.parametrize(
    ("own_cores", "now", "claims"),
    [
        pytest.param(0.5, 0.35, False, id="small-waits"),
        pytest.param(0.5, 0.45, True, id="small-claims-in-the-end"),
        pytest.param(2.0, 0.15, True, id="large-claims-early"),
        pytest.param(0.5, 2.0, True, id="long-a-member"),
    ],
)
def test_a_new_member_waits_for_larger_ones(
    own_cores: float, now: float, claims: bool
) -> None:
    """Guards against a small instance that owns all as it started first."""
    session = _make_session({"a": own_cores}, own_cores=own_cores)
    session.ownerless_since[SERVICE] = 0.0
    assert _claims.should_claim(session, SERVICE, now) is claims


def _run_with_store(
    scenario: collections.abc.Callable[
        [_session.Session, cloud.Store], collections.abc.Awaitable[None]
    ],
    *,
    follows: bool = True,
) -> None:
    """Run a scenario with a session that follows the cell, or is behind."""

    async def main() -> None:
        store = cloud.Store()
        address, server = cloud.serve(
            functools.partial(cloud.handle_store_request, store)
        )
        session = _session_fixtures.make_session(
            address, timeout_s=0.7, count=lambda kind, outcome: None
        )
        following = asyncio.ensure_future(
            _session.follow_cell(session) if follows else asyncio.sleep(0)
        )
        try:
            async with asyncio.timeout(10.0):
                await scenario(session, store)
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)
            server.stop()
            # libcurl's transfers end with their connections.
            await server.close_all_connections()
            await asyncio.sleep(0.1)
            _http.close(session.store.http)

    asyncio.run(main())


def _put_owner(store: cloud.Store, service: str, name: str) -> int:
    """Store a service's owner and return its fencing token."""
    cloud.put(store, _keys.owner(service), cbor2.dumps([name, name]))
    return store.revision


def _release(
    store: cloud.Store, fencing_token: int, former_calls_ms: int = 0
) -> None:
    value = _session.encode_release(
        fencing_token, former_calls_ms=former_calls_ms
    )
    cloud.put(store, _keys.released(SERVICE), value)
    cloud.remove(store, _keys.owner(SERVICE))


async def _until_known(
    session: _session.Session, store: cloud.Store, service: str
) -> None:
    """Wait until the session knows all that was stored before."""
    _put_owner(store, service, "z")
    while service not in session.owners:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("seen", "lists_anew", "releases", "stopped"),
    [
        pytest.param(True, False, True, True, id="released"),
        pytest.param(True, False, False, False, id="lost-its-key"),
        pytest.param(True, True, False, False, id="lost-while-listing"),
        pytest.param(False, True, False, False, id="never-seen"),
    ],
)
def test_a_release_says_nothing_of_a_later_owner(
    seen: bool, lists_anew: bool, releases: bool, stopped: bool
) -> None:
    """Guards against runs that start beside those of an owner that goes on.

    The service went from ``b``, which released it, to ``c``. A successor that
    takes ``c`` for stopped does not wait for the end of its authority.
    """

    async def scenario(session: _session.Session, store: cloud.Store) -> None:
        first = _put_owner(store, SERVICE, "b")
        await _until_known(session, store, "other-1")
        _release(store, first)
        await _until_known(session, store, "other-2")
        second = _put_owner(store, SERVICE, "c")
        if seen:
            await _until_known(session, store, "other-3")
        if releases:
            _release(store, second)
        else:
            cloud.remove(store, _keys.owner(SERVICE))
        if lists_anew:
            # The watch in progress has not been answered yet.
            store.compacted_revision = store.revision
        await _until_known(session, store, "other-4")
        assert SERVICE not in session.owners
        assert _claims.has_former_owner_stopped(session, SERVICE) is stopped

    _run_with_store(scenario)


@pytest.mark.parametrize(
    "former_calls_ms",
    [
        pytest.param(0, id="all-have-stopped"),
        pytest.param(3200, id="an-earlier-owner-goes-on"),
    ],
)
def test_a_release_tells_of_the_owners_before(former_calls_ms: int) -> None:
    """Guards against an earlier owner that a release hides."""

    async def scenario(session: _session.Session, store: cloud.Store) -> None:
        first = _put_owner(store, SERVICE, "b")
        await _until_known(session, store, "other-1")
        _release(store, first, former_calls_ms)
        await _until_known(session, store, "other-2")
        session.lease, _ = await platform.grant_lease(session.store, ttl_s=10)
        await _claims.claim(session, SERVICE)
        token = session.owners[SERVICE].fencing_token
        release = _claims.release_before(session, SERVICE, token)
        assert release.former_calls_ms == former_calls_ms

    _run_with_store(scenario)


@pytest.mark.parametrize(
    ("present", "kept"),
    [
        pytest.param(1, 0, id="the-same-lease"),
        pytest.param(2, 2, id="the-instance-has-joined-anew"),
        pytest.param(0, 0, id="known-to-have-expired"),
    ],
)
def test_a_late_refusal_of_a_claim_ends_no_later_lease(
    present: int, kept: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an instance that drops the lease of all its keys."""
    session = _make_session({"a": 1.0})

    async def refuse(
        store: object, transaction: platform.Transaction
    ) -> typing.NoReturn:
        assert transaction.lease == 1
        session.lease = present
        raise errors.LeaseExpiredError(message="It has ended.", remedy="Join.")

    monkeypatch.setattr(platform, "commit", refuse)
    asyncio.run(_claims.claim(session, SERVICE))
    assert session.lease == kept


async def _claim_anew(
    session: _session.Session, store: cloud.Store, ends: str
) -> None:
    """Let another instance own the service, and end that as given."""
    other = _session_fixtures.make_session(
        session.store.address, timeout_s=0.7, count=lambda kind, outcome: None
    )
    other.incarnation = "c"
    other.lease, _ = await platform.grant_lease(other.store, ttl_s=10.0)
    await _claims.claim(other, SERVICE)
    assert _claims.owns_service(other, SERVICE)
    if ends == "dies":
        cloud.remove(store, _keys.owner(SERVICE))
    elif ends == "releases":
        _release(store, other.owners[SERVICE].fencing_token)
    _http.close(other.store.http)


@pytest.mark.parametrize(
    ("ends", "claimed", "stopped"),
    [
        pytest.param("", True, True, id="nobody-since"),
        pytest.param("dies", True, False, id="another-has-died"),
        pytest.param("releases", True, False, id="another-has-released"),
        pytest.param("lives", False, False, id="another-owns-it"),
    ],
)
def test_a_claim_behind_its_watch_does_not_count_on_an_old_release(
    ends: str, claimed: bool, stopped: bool
) -> None:
    """Guards against runs that start beside those of an owner in between.

    The watch has shown that ``b`` released the service, and nothing since.
    """

    async def scenario(session: _session.Session, store: cloud.Store) -> None:
        session.incarnation = "a"
        session.lease, _ = await platform.grant_lease(session.store, ttl_s=10)
        first = _put_owner(store, SERVICE, "b")
        _release(store, first)
        session.former_owners[SERVICE] = _session.Owner(
            instance="b", incarnation="b", fencing_token=first
        )
        for item in await _read_cell(session):
            _session.apply_cell_item(session, item)
        assert _claims.has_former_owner_stopped(session, SERVICE)
        if ends:
            await _claim_anew(session, store, ends)
        for _ in range(2):
            if SERVICE not in session.owners:
                await _claims.claim(session, SERVICE)
        assert _claims.owns_service(session, SERVICE) is claimed
        token = session.owners[SERVICE].fencing_token
        release = _claims.release_before(session, SERVICE, token)
        assert (release is not None) is stopped

    _run_with_store(scenario, follows=False)


async def _read_cell(session: _session.Session) -> tuple[platform.Item, ...]:
    return (await platform.read_all(session.store, _keys.CELL)).items
