"""Order in which instances claim a service."""

import pytest

from chestnuttide.node import _claims
from chestnuttide.node import _session
from chestnuttide.node import _settings

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
