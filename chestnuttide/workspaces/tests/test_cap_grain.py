"""Parts of a cap allow each whole amount, also one that fills the rest."""

import pytest

from chestnuttide import model
from chestnuttide import workspaces

CAPS = (1, 3, 7, 48, 1_000_003)
RESOURCES = ("cpu_millis", "memory_mb", "accelerators")


def _amount(resource: str, value: int) -> model.Resources:
    return model.Resources(**{resource: value})


def _splits(cap: int, count: int) -> list[tuple[int, ...]]:
    """Return what the services use one after the other, the whole cap."""
    least = (1 if cap >= count else 0,) * (count - 1)
    third = (cap // 3,) * (count - 1)
    half = (cap // 2,) + (cap // 4,) * (count - 2)
    rest_last = [(*used, cap - sum(used)) for used in (least, third, half)]
    return [*rest_last, rest_last[0][::-1]]


CASES = [
    pytest.param(resource, cap, split, id=f"{resource}-{cap}-{split}")
    for resource in RESOURCES
    for cap in CAPS
    for count in (2, 3)
    for split in sorted(set(_splits(cap, count)))
]


def _limit(
    cap: model.Resources, parts: workspaces.CapParts, service: str
) -> model.Resources:
    return workspaces.limit_of(cap, workspaces.held_by(parts, "w", service))


def _give_once(
    cap: model.Resources,
    parts: workspaces.CapParts,
    uses: dict[str, model.Resources],
    receiver: str,
    need: model.Resources,
    *,
    others_want: bool,
) -> workspaces.CapParts:
    """Let each owner decide once; check the limits after each write."""
    for giver in uses:
        demands = {}
        for name, use in uses.items():
            waits = need if name == receiver else model.ZERO
            if others_want and name != receiver:
                waits = cap
            demands[name] = workspaces.demand_of(
                cap,
                use=use,
                head=waits,
                waiting=waits,
                waiting_s=1.5 if name == receiver else 0.5,
            )
        decision = workspaces.decide(giver, parts.rows["w"], demands)
        parts = workspaces.give(parts, giver, {"w": decision.gifts})
        parts = workspaces.decode_parts(workspaces.encode_parts(parts), 1)
        total = model.ZERO
        for name, use in uses.items():
            limit = _limit(cap, parts, name)
            assert model.fits(use, limit)
            total = model.add(total, limit)
        assert model.fits(total, cap)
    return parts


@pytest.mark.parametrize("others_want", [False, True])
@pytest.mark.parametrize(("resource", "cap", "split"), CASES)
def test_a_unit_that_fills_the_rest_gets_it(
    resource: str, cap: int, split: tuple[int, ...], others_want: bool
) -> None:
    """Guards against work that waits for ever for the grain of the parts.

    Parts that are rounded up at one service must not lack at the other.
    """
    whole = _amount(resource, cap)
    names = "abc"[: len(split)]
    parts = workspaces.create_rows(workspaces.CapParts(), ["w"], names)
    uses = dict.fromkeys(names, model.ZERO)
    for name, value in zip(names, split, strict=True):
        need = _amount(resource, value)
        for _ in names:
            parts = _give_once(
                whole, parts, uses, name, need, others_want=others_want
            )
        assert model.fits(need, _limit(whole, parts, name))
        uses[name] = need
