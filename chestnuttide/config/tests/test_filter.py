import random

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from chestnuttide import config
from chestnuttide import errors
from chestnuttide import pipes

_KEY = config.entry_key(1)


def _submit(token: str, base: int = 0, **patch: object) -> config.SubmitPatch:
    return config.SubmitPatch(
        token=token, base=base, patch=patch, author="a", write_id=f"w-{token}"
    )


def _team(name: str, weight: float) -> dict[str, object]:
    return {"teams": {name: {"weight": weight}}}


def _entry(version: int, write_id: str, patch: dict) -> config.PatchEntry:
    return config.PatchEntry(
        version=version,
        base=version - 1,
        patch=patch,
        author="b",
        write_id=write_id,
    )


def _type_names(messages: list[object]) -> list[str]:
    return [type(message).__name__ for message in messages]


_MINE = config.encode_entry(_entry(1, "w-x", _team("mill", 2)))
_THEIRS = config.encode_entry(_entry(1, "w-y", _team("loom", 3)))
_COLLIDES = config.encode_entry(_entry(1, "w-y", _team("mill", 3)))
_WRITE_LOST = config.WriteUnanswered(key=_KEY, write_id="w-x")
_CONFLICT = config.WriteConflict(key=_KEY, write_id="w-x")
_ACCEPTED = ["ConfigAdopted", "PatchAccepted", "Broadcast"]


# Each step has an input, its time and the types of the expected outputs.
@pytest.mark.parametrize(
    "steps",
    [
        pytest.param(
            [
                (
                    config.WriteSucceeded(key=_KEY, write_id="w-x"),
                    1,
                    _ACCEPTED,
                ),
                (config.WriteSucceeded(key=_KEY, write_id="w-x"), 1, []),
            ],
            id="duplicate_answer_accepts_twice",
        ),
        pytest.param(
            [
                (_WRITE_LOST, 1, ["ReadKey"]),
                (config.ReadBack(key=_KEY, value=_MINE), 1, _ACCEPTED),
            ],
            id="lost_answer_writes_twice",
        ),
        pytest.param(
            [
                (_WRITE_LOST, 1, ["ReadKey"]),
                (config.ReadBack(key=_KEY, value=None), 1, []),
                (config.Tick(), 1.05, []),
                (config.Tick(), 1.2, ["WritePatch"]),
                (_CONFLICT, 1.2, ["ReadKey"]),
                (config.ReadBack(key=_KEY, value=_MINE), 1.2, _ACCEPTED),
            ],
            id="own_delayed_write_not_recognised",
        ),
        pytest.param(
            [
                (_WRITE_LOST, 1, ["ReadKey"]),
                (config.ReadUnanswered(key=_KEY), 1, []),
                (config.Tick(), 1.2, ["ReadKey"]),
                (config.ReadBack(key=_KEY, value=_MINE), 1.3, _ACCEPTED),
            ],
            id="lost_read_not_retried",
        ),
        pytest.param(
            [
                (_CONFLICT, 1, ["ReadKey"]),
                (
                    config.ReadBack(key=_KEY, value=_THEIRS),
                    1,
                    ["ConfigAdopted", "WritePatch"],
                ),
                (config.WriteSucceeded(key=_KEY, write_id="w-x"), 1, []),
                (
                    config.WriteSucceeded(
                        key=config.entry_key(2), write_id="w-x"
                    ),
                    1,
                    _ACCEPTED,
                ),
            ],
            id="patch_not_rebased_after_race",
        ),
        pytest.param(
            [
                (_CONFLICT, 1, ["ReadKey"]),
                (
                    config.ReadBack(key=_KEY, value=_COLLIDES),
                    1,
                    ["ConfigAdopted", "PatchRefused"],
                ),
            ],
            id="race_on_one_path_loses_update",
        ),
        pytest.param(
            [
                (
                    config.PatchesReceived(
                        entries=(config.decode_entry(1, _MINE),)
                    ),
                    1,
                    _ACCEPTED,
                ),
                (config.WriteSucceeded(key=_KEY, write_id="w-x"), 1, []),
            ],
            id="own_patch_from_peer_not_recognised",
        ),
        pytest.param(
            [
                (_WRITE_LOST, 1, ["ReadKey"]),
                (
                    config.SnapshotReceived(
                        snapshot=config.Snapshot(
                            version=7, document=_team("mill", 2)
                        )
                    ),
                    1,
                    ["ConfigAdopted"],
                ),
                (
                    config.ReadBack(key=_KEY, value=_MINE),
                    1,
                    ["PatchAccepted", "Broadcast"],
                ),
            ],
            id="snapshot_hides_acceptance",
        ),
        pytest.param(
            [
                (_WRITE_LOST, 1, ["ReadKey"]),
                (config.Tick(), 11, ["PatchRefused"]),
                (config.ReadBack(key=_KEY, value=_MINE), 12, _ACCEPTED[:1]),
            ],
            id="unanswered_patch_never_refused",
        ),
        pytest.param(
            [
                (
                    config.ReadBack(key=_KEY, value=b"{"),
                    1,
                    ["ConfigUnreadable"],
                ),
                (_CONFLICT, 1, ["ReadKey"]),
                (
                    config.ReadBack(key=_KEY, value=b"{"),
                    1,
                    ["ConfigUnreadable", "PatchRefused"],
                ),
            ],
            id="unreadable_entry_raises",
        ),
    ],
)
def test_submission_of_one_patch(steps: list) -> None:
    run = config.make_config_filter()
    first = run(_submit("x", **_team("mill", 2)), 0.5)
    assert _type_names(first) == ["WritePatch"]
    for message, now, expected in steps:
        assert _type_names(run(message, now)) == expected


def test_waiting_patches_are_written_in_order() -> None:
    run = config.make_config_filter()
    run(_submit("x", **_team("mill", 2)), 0.0)
    assert run(_submit("y", **_team("loom", 2)), 0.0) == []
    assert run(_submit("z", **_team("mill", 3)), 0.0) == []
    out = run(config.WriteSucceeded(key=_KEY, write_id="w-x"), 0.1)
    assert _type_names(out) == [*_ACCEPTED, "WritePatch"]
    assert out[-1].write_id == "w-y"
    assert out[-1].key == config.entry_key(2)
    out = run(
        config.WriteSucceeded(key=config.entry_key(2), write_id="w-y"), 0.2
    )
    assert _type_names(out) == [*_ACCEPTED, "PatchRefused"]
    assert out[-1].error.reason is errors.Reason.CONFIG_CONFLICT


def test_refusal_is_not_run_only_if_nothing_was_written() -> None:
    run = config.make_config_filter()
    run(_submit("x", **_team("mill", 2)), 0.0)
    run(_submit("y", **_team("loom", 2)), 0.0)
    run(_WRITE_LOST, 1.0)
    refused = run(config.Tick(), 10.0)
    assert [(out.token, out.error.run_state) for out in refused] == [
        ("x", errors.RunState.UNKNOWN),
        ("y", errors.RunState.NOT_RUN),
    ]


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        pytest.param(
            _THEIRS,
            ["ConfigAdopted", "WritePatch"],
            id="lagging_instance_refuses_existing_base",
        ),
        pytest.param(None, ["PatchRefused"], id="nonexistent_base_accepted"),
    ],
)
def test_base_above_head_is_read_from_the_store(
    value: bytes | None, expected: list[str]
) -> None:
    run = config.make_config_filter()
    out = run(_submit("x", base=1, **_team("loom", 9)), 0.0)
    assert _type_names(out) == ["ReadKey"]
    out = run(config.ReadBack(key=_KEY, value=value), 0.1)
    assert _type_names(out) == expected


def test_gap_is_fetched_and_filled() -> None:
    run = config.make_config_filter()
    entries = [_entry(n, f"w{n}", _team("mill", n)) for n in (1, 2, 3)]
    out = run(config.PatchesReceived(entries=(entries[2],)), 1.0)
    assert out == [config.FetchMissing(after_version=0)]
    assert run(config.VersionSeen(version=3), 1.5) == []
    assert _type_names(run(config.Tick(), 2.1)) == ["FetchMissing"]
    out = run(
        config.PatchesReceived(entries=tuple(entries[:2]), from_store=True),
        2.2,
    )
    assert _type_names(out) == ["ConfigAdopted", "Broadcast"]
    assert (out[0].version, out[0].cell_config.teams["mill"].weight) == (3, 3)
    assert run(config.PatchesReceived(entries=(entries[0],)), 2.3) == []
    old = config.Snapshot(version=2, document={})
    assert run(config.SnapshotReceived(snapshot=old), 2.4) == []


def test_unreadable_version_keeps_last_config_in_force() -> None:
    state = config.ConfigState()
    run = config.make_config_filter(state=state)
    good = _entry(1, "w1", _team("mill", 2))
    new_field = _entry(2, "w2", {"teams": {"mill": {"colour": "red"}}})
    run(config.PatchesReceived(entries=(good,)), 0.0)
    out = run(config.PatchesReceived(entries=(new_field,)), 0.0)
    assert _type_names(out) == ["ConfigUnreadable"]
    assert state.history.version == 2
    assert state.cell_config.teams["mill"].weight == 2


def test_snapshot_every_64_versions() -> None:
    run = config.make_config_filter()
    written = []
    for version in range(1, 193):
        run(_submit(str(version), version - 1, **_team("m", version)), 0.0)
        out = run(
            config.WriteSucceeded(
                key=config.entry_key(version), write_id=f"w-{version}"
            ),
            0.0,
        )
        written += [m for m in out if isinstance(m, config.WriteSnapshot)]
    assert [message.snapshot.version for message in written] == [64, 128, 192]
    assert [message.obsolete_prefix for message in written] == [
        "",
        "",
        "config/snapshot/000000000064/",
    ]


def test_too_many_waiting_patches_are_refused() -> None:
    run = config.make_config_filter()
    out: list[object] = []
    for number in range(258):
        out = run(_submit(str(number), **_team("m", 1)), 0.0)
    assert _type_names(out) == ["PatchRefused"]
    assert out[0].error.reason is errors.Reason.QUEUE_FULL


@attrs.define(kw_only=True)
class _SimulatedCell:
    """Simulated instances that share a store; `calls` are in progress."""

    rng: random.Random
    faulty: bool = True
    store: dict[str, bytes] = attrs.field(factory=dict)
    states: list[config.ConfigState] = attrs.field(factory=list)
    filters: list[pipes.Filter] = attrs.field(factory=list)
    calls: list[tuple[int, object]] = attrs.field(factory=list)
    delayed: list[config.WritePatch] = attrs.field(factory=list)
    accepted: dict[str, int] = attrs.field(factory=dict)
    refused: dict[str, errors.RefusedError] = attrs.field(factory=dict)
    in_force: list[list[int]] = attrs.field(factory=list)
    now: float = 0.0


def _start(cell: _SimulatedCell, index: int) -> None:
    state = config.ConfigState()
    made = config.make_config_filter(state=state)
    if index == len(cell.states):
        cell.states.append(state)
        cell.filters.append(made)
        cell.in_force.append([0])
    else:
        cell.states[index] = state
        cell.filters[index] = made
        cell.in_force[index] = [0]
        cell.calls = [call for call in cell.calls if call[0] != index]


def _feed(cell: _SimulatedCell, index: int, message: object) -> None:
    for out in cell.filters[index](message, cell.now):
        if isinstance(out, config.PatchAccepted):
            assert out.token not in cell.accepted
            assert out.token not in cell.refused
            cell.accepted[out.token] = out.version
        elif isinstance(out, config.PatchRefused):
            assert out.token not in cell.accepted
            cell.refused[out.token] = out.error
        elif isinstance(out, config.ConfigAdopted):
            assert out.version > cell.in_force[index][-1]
            cell.in_force[index].append(out.version)
        else:
            cell.calls.append((index, out))


def _create(cell: _SimulatedCell, call: config.WritePatch) -> bool:
    if call.key in cell.store:
        return False
    cell.store[call.key] = call.value
    return True


def _execute_write(
    cell: _SimulatedCell, index: int, call: config.WritePatch, fault: float
) -> None:
    names = {"key": call.key, "write_id": call.write_id}
    if fault < 0.15:
        # The answer is lost; the write takes effect now, later or never.
        if fault < 0.05:
            _create(cell, call)
        elif fault < 0.1:
            cell.delayed.append(call)
        _feed(cell, index, config.WriteUnanswered(**names))
    elif _create(cell, call):
        _feed(cell, index, config.WriteSucceeded(**names))
    else:
        _feed(cell, index, config.WriteConflict(**names))


def _execute_call(cell: _SimulatedCell) -> None:
    index, call = cell.calls.pop(cell.rng.randrange(len(cell.calls)))
    fault = cell.rng.random() if cell.faulty else 1.0
    if isinstance(call, config.WritePatch):
        _execute_write(cell, index, call, fault)
    elif isinstance(call, config.ReadKey):
        if fault < 0.15:
            _feed(cell, index, config.ReadUnanswered(key=call.key))
        else:
            value = cell.store.get(call.key)
            _feed(cell, index, config.ReadBack(key=call.key, value=value))
    elif isinstance(call, config.Broadcast):
        for peer in range(len(cell.filters)):
            if peer != index and fault >= 0.3:
                received = config.PatchesReceived(entries=call.entries)
                _feed(cell, peer, received)
    elif isinstance(call, config.FetchMissing) and fault >= 0.3:
        peer = cell.rng.randrange(len(cell.states))
        history = cell.states[peer].history
        entries = config.entries_after(history, call.after_version)
        if entries is None or cell.rng.random() < 0.5:
            snapshot = config.Snapshot(
                version=history.version, document=history.document
            )
            _feed(cell, index, config.SnapshotReceived(snapshot=snapshot))
        else:
            _feed(cell, index, config.PatchesReceived(entries=entries))


def _random_patch(cell: _SimulatedCell) -> dict:
    team = cell.rng.choice("abcd")
    return cell.rng.choice(
        [
            _team(team, cell.rng.randint(1, 9)),
            {"teams": {team: {"cpu_millis": cell.rng.randint(0, 9)}}},
            {"teams": {team: None}},
            {"teams": {team: {"weight": -1}}},
            {"pool": {"eject_failures": cell.rng.randint(1, 9)}},
        ]
    )


def _run_random_step(cell: _SimulatedCell, submitted: int) -> int:
    chance = cell.rng.random()
    index = cell.rng.randrange(len(cell.filters))
    cell.now += cell.rng.random() * 0.1
    if chance < 0.25:
        # The author has read from any instance, which may be ahead or behind.
        head = cell.rng.choice(cell.states).history.version
        base = max(0, head - cell.rng.randint(0, 2))
        _feed(
            cell,
            index,
            _submit(str(submitted), base, **_random_patch(cell)),
        )
        return submitted + 1
    if chance < 0.35:
        cell.now += cell.rng.choice([0.1, 0.1, 0.1, 4.0])
        _feed(cell, index, config.Tick())
    elif chance < 0.4 and cell.delayed:
        _create(cell, cell.delayed.pop())
    elif chance < 0.42:
        _start(cell, index)
    elif chance < 0.52:
        peer = cell.rng.choice(cell.states).history.version
        _feed(cell, index, config.VersionSeen(version=peer))
    elif cell.calls:
        _execute_call(cell)
    return submitted


def _drain(cell: _SimulatedCell) -> None:
    """Stop injecting faults and run until all instances have caught up."""
    cell.faulty = False
    for call in cell.delayed:
        _create(cell, call)
    for _ in range(200):
        cell.now += 2.5
        while cell.calls:
            _execute_call(cell)
        entries = tuple(
            config.decode_entry(config.version_of_key(key), value)
            for key, value in sorted(cell.store.items())
        )
        for index in range(len(cell.filters)):
            watched = config.PatchesReceived(entries=entries, from_store=True)
            _feed(cell, index, watched)
            _feed(cell, index, config.Tick())
        if not cell.calls and all(
            state.in_flight is None and not state.waiting
            for state in cell.states
        ):
            return
    raise AssertionError("the instances do not converge")


@hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
@hypothesis.given(
    operators=strategies.integers(2, 4),
    steps=strategies.integers(20, 200),
    seed=strategies.integers(0, 2**32),
)
def test_concurrent_operators(operators: int, steps: int, seed: int) -> None:
    # Guards against lost, duplicate or reverted versions when operators submit
    # patches concurrently through different instances while answers are lost,
    # writes take effect late and instances restart.
    cell = _SimulatedCell(rng=random.Random(seed))
    for index in range(operators):
        _start(cell, index)
    submitted = 0
    for _ in range(steps):
        submitted = _run_random_step(cell, submitted)
    _drain(cell)

    entries = [
        config.decode_entry(config.version_of_key(key), value)
        for key, value in sorted(cell.store.items())
    ]
    assert [entry.version for entry in entries] == list(
        range(1, len(entries) + 1)
    )
    stored = {entry.write_id: entry.version for entry in entries}
    assert len(stored) == len(entries)
    document: dict = {}
    for entry in entries:
        document = config.apply_patch(document, entry.patch)
        config.structure(document)
        ours = config.changed_paths(entry.patch)
        for other in entries[entry.base : entry.version - 1]:
            theirs = config.changed_paths(other.patch)
            assert config.colliding_paths(ours, theirs) == ()
    for token, version in cell.accepted.items():
        assert stored[f"w-{token}"] == version
    for token, error in cell.refused.items():
        if error.run_state is errors.RunState.NOT_RUN:
            assert f"w-{token}" not in stored
    for state, versions in zip(cell.states, cell.in_force, strict=True):
        assert state.history.document == document
        assert state.history.version == len(entries)
        assert versions == sorted(set(versions))


def test_patch_resent_through_another_instance_is_applied_once() -> None:
    """Guards against a duplicate version if an entry loses its scheduler."""
    run = config.make_config_filter()
    theirs = _entry(1, "w-x", _team("mill", 2))
    later = _entry(2, "w-z", _team("loom", 3))
    run(config.PatchesReceived(entries=(theirs, later)), 1.0)
    outputs = run(_submit("x", 0, **_team("mill", 2)), 2.0)
    accepted = [o for o in outputs if isinstance(o, config.PatchAccepted)]
    assert [each.version for each in accepted] == [1]
    assert not [o for o in outputs if isinstance(o, config.WritePatch)]
