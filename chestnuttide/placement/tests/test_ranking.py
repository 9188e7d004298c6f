import random

import hypothesis
from hypothesis import strategies
import pytest

from chestnuttide.placement import _ranking


def _check_blocks(ranking: _ranking.Ranking, expected: list) -> None:
    assert [entry for block in ranking.blocks for entry in block] == expected
    assert all(ranking.blocks)
    assert ranking.last_entries == [block[-1] for block in ranking.blocks]
    assert ranking.max_secondaries == [
        max(entry[1] for entry in block) for block in ranking.blocks
    ]
    assert all(
        len(block) < 2 * _ranking.BLOCK_LENGTH for block in ranking.blocks
    )


# Guards against block summaries that do not match the entries, so that lookups
# skip workers that fit.
@hypothesis.settings(derandomize=True, max_examples=40, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 1_000_000),
    spread=strategies.sampled_from([1, 4, 50, 10_000]),
    steps=strategies.integers(1, 400),
)
def test_ranking_equals_sorted_list(
    seed: int, spread: int, steps: int
) -> None:
    rng = random.Random(seed)
    ranking = _ranking.Ranking()
    entries: list[_ranking.Entry] = []

    def draw(number: int) -> _ranking.Entry:
        return rng.randrange(spread), rng.randrange(spread), f"w{number}"

    for number in range(steps):
        action = rng.random()
        if not entries or action < 0.5:
            entry = draw(number)
            entries.append(entry)
            _ranking.insert(ranking, entry)
        elif action < 0.8:
            old = entries.pop(rng.randrange(len(entries)))
            entry = draw(number)
            entries.append(entry)
            _ranking.replace(ranking, old, entry)
        else:
            _ranking.remove(ranking, entries.pop(rng.randrange(len(entries))))
        entries.sort()
        min_primary, min_secondary = (
            rng.randrange(spread + 1),
            rng.randrange(spread + 1),
        )
        excluded = {item[2] for item in entries if rng.random() < 0.2}
        fits = [
            entry
            for entry in entries
            if entry[0] >= min_primary and entry[1] >= min_secondary
        ]
        assert _ranking.first_fit(
            ranking,
            primary=min_primary,
            secondary=min_secondary,
            excluded=excluded,
        ) == next((item for item in fits if item[2] not in excluded), None)
        found = _ranking.ascending(
            ranking, primary=min_primary, secondary=min_secondary
        )
        assert list(found) == fits
        found = _ranking.descending(
            ranking, primary=min_primary, secondary=min_secondary
        )
        assert list(found) == fits[::-1]
    _check_blocks(ranking, entries)


@pytest.mark.parametrize(
    "change",
    [
        pytest.param(
            lambda ranking: _ranking.remove(ranking, (1, 1, "b")),
            id="removes_another_workers_entry",
        ),
        pytest.param(
            lambda ranking: _ranking.replace(
                ranking, (1, 1, "b"), (1, 1, "x")
            ),
            id="replaces_another_workers_entry",
        ),
    ],
)
def test_ranking_refuses_unknown_entry(change: object) -> None:
    ranking = _ranking.Ranking()
    for name in "acd":
        _ranking.insert(ranking, (1, 1, name))
    with pytest.raises(KeyError):
        change(ranking)
    _check_blocks(ranking, [(1, 1, name) for name in "acd"])
