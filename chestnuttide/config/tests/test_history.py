import typing

import attrs
import pytest

from chestnuttide import config
from chestnuttide import errors


def _history(*patches: dict) -> config.History:
    history = config.History()
    for index, patch in enumerate(patches):
        entry = config.PatchEntry(
            version=index + 1,
            base=index,
            patch=patch,
            author="test",
            write_id=f"w{index + 1}",
        )
        value = config.encode_entry(entry)
        history = config.adopt(history, config.decode_entry(index + 1, value))
    return history


def _teams(count: int) -> list[dict]:
    return [{"teams": {f"t{n}": {"weight": n + 1.0}}} for n in range(count)]


def _plan(
    history: config.History, base: object, patch: object
) -> config.PlannedWrite:
    return config.plan_patch(
        history, base=base, patch=patch, author="a", write_id="w"
    )


def test_structure_fills_defaults() -> None:
    cell = config.structure(
        {"services": {"casting": {"shards": 4}}, "pool": {"long_run_s": 30}}
    )
    assert cell.services["casting"] == config.ServiceConfig(shards=4)
    assert cell.pool == config.PoolConfig(long_run_s=30.0)
    assert type(cell.pool.long_run_s) is float


@pytest.mark.parametrize(
    ("document", "details"),
    [
        pytest.param(
            {"services": {"casting": {"shards": 65}}},
            {
                "path": "services.casting.shards",
                "value": 65,
                "allowed": "a whole number >= 1 and <= 64",
            },
            id="allowed_range_not_reported",
        ),
        pytest.param(
            {"services": {"casting": {"shard": 4}}},
            {
                "path": "services.casting.shard",
                "value": 4,
                "nearest": "services.casting.shards",
            },
            id="nearest_field_not_reported",
        ),
        pytest.param(
            {"team": {}},
            {"path": "team", "value": {}, "nearest": "teams"},
            id="unknown_group_accepted",
        ),
        pytest.param(
            {"teams": {"a/b": {}}},
            {"path": "teams.a/b", "value": "a/b"},
            id="slash_splits_store_key",
        ),
        pytest.param(
            {"workload_classes": {"render": {"spread": 1}}},
            {"path": "workload_classes.render.spread", "value": 1},
            id="1_accepted_as_true",
        ),
        pytest.param(
            {"teams": {"mill": {"weight": float("inf")}}},
            {"path": "teams.mill.weight", "value": float("inf")},
            id="infinity_accepted",
        ),
        pytest.param(
            {"teams": {"mill": {"weight": 10**400}}},
            {"path": "teams.mill.weight", "value": 10**400},
            id="huge_number_overflows",
        ),
        pytest.param(
            {"teams": []},
            {"path": "teams", "value": []},
            id="list_accepted_as_group",
        ),
    ],
)
def test_structure_refuses(document: dict, details: dict) -> None:
    with pytest.raises(errors.RefusedError) as caught:
        config.structure(document)
    assert caught.value.reason is errors.Reason.CONFIG_INVALID
    assert details.items() <= caught.value.details.items()
    assert details["path"] in str(caught.value)


@pytest.mark.parametrize(
    ("base", "patch", "reason", "details"),
    [
        pytest.param(
            1,
            {"teams": {"t1": {"weight": 9}}},
            errors.Reason.CONFIG_CONFLICT,
            {"paths": ["teams.t1.weight"], "versions": [2], "head": 3},
            id="lost_update",
        ),
        pytest.param(
            0,
            {"teams": {"t1": None, "t2": None}},
            errors.Reason.CONFIG_CONFLICT,
            {"paths": ["teams.t1", "teams.t2"], "versions": [2, 3]},
            id="changed_team_removed",
        ),
        pytest.param(
            4,
            {"teams": {}},
            errors.Reason.UNKNOWN_VERSION,
            {"version": 4, "head": 3},
            id="base_above_head_accepted",
        ),
        pytest.param(
            -1,
            {"teams": {}},
            errors.Reason.UNKNOWN_VERSION,
            {"oldest": 0},
            id="negative_base_accepted",
        ),
        pytest.param(
            "3",
            {"teams": {}},
            errors.Reason.INVALID_VALUE,
            {},
            id="string_base_accepted",
        ),
        pytest.param(
            3, [], errors.Reason.CONFIG_INVALID, {}, id="list_patch_accepted"
        ),
        pytest.param(
            3, {}, errors.Reason.CONFIG_INVALID, {}, id="empty_patch_accepted"
        ),
        pytest.param(
            3,
            {"pool": {"eject_share": 2}},
            errors.Reason.CONFIG_INVALID,
            {"path": "pool.eject_share", "value": 2},
            id="invalid_value_stored",
        ),
        pytest.param(
            3,
            {"services": {"s": {"status_path": "x" * 300_000}}},
            errors.Reason.TOO_LARGE,
            {"limit_bytes": 262_144},
            id="patch_exceeds_store_limit",
        ),
    ],
)
def test_plan_refuses(
    base: object, patch: object, reason: errors.Reason, details: dict
) -> None:
    with pytest.raises(errors.RefusedError) as caught:
        _plan(_history(*_teams(3)), base, patch)
    assert caught.value.reason is reason
    assert caught.value.run_state is errors.RunState.NOT_RUN
    assert details.items() <= caught.value.details.items()


def test_deep_patch_is_refused_before_recursion() -> None:
    patch: dict[str, typing.Any] = {}
    for _ in range(100_000):
        patch = {"a": patch}
    with pytest.raises(errors.RefusedError, match="deeper"):
        _plan(config.History(), 0, patch)


def test_plan_rebases_patch_without_collision() -> None:
    history = _history(*_teams(3))
    planned = _plan(history, 0, {"teams": {"t9": {"weight": 2}}})
    assert planned.key == "config/patch/000000000004"
    entry = config.decode_entry(planned.version, planned.value)
    assert (entry.version, entry.base, entry.write_id) == (4, 0, "w")
    adopted = config.adopt(history, entry)
    assert set(adopted.document["teams"]) == {"t0", "t1", "t2", "t9"}


@pytest.mark.parametrize(
    "version",
    [
        pytest.param(3, id="version_adopted_twice"),
        pytest.param(2, id="version_reverted"),
        pytest.param(5, id="gap_ignored"),
    ],
)
def test_adopt_accepts_only_the_next_version(version: int) -> None:
    history = _history(*_teams(3))
    entry = attrs.evolve(history.recent[0], version=version)
    with pytest.raises(ValueError, match="does not follow 3"):
        config.adopt(history, entry)


def test_dropping_old_patches_keeps_the_document() -> None:
    history = _history(*_teams(1_030))
    assert config.oldest_version(history) == 6
    assert len(history.document["teams"]) == 1_030
    assert len(config.document_at(history, 6)["teams"]) == 6
    assert len(config.document_at(history, 8)["teams"]) == 8
    assert config.entries_after(history, 5) is None
    assert config.find_entry(history, 6) is None
    assert config.find_entry(history, 7) == history.recent[0]
    assert [e.version for e in config.entries_after(history, 1_029)] == [1_030]
    assert config.entries_after(history, 1_031) == ()
    for base in (5, 1_031):
        with pytest.raises(errors.RefusedError, match="is not known"):
            _plan(history, base, {"teams": {"t0": None}})


@pytest.mark.parametrize(
    "teams",
    [
        pytest.param(1, id="one_chunk_not_decoded"),
        pytest.param(60_000, id="chunk_above_512_kb"),
    ],
)
def test_snapshot_round_trip(teams: int) -> None:
    document = {"teams": {f"team-{n}": {"weight": 1.0} for n in range(teams)}}
    encoded = config.encode_snapshot(
        config.Snapshot(version=64, document=document)
    )
    assert all(len(value) <= 512_000 for _, value in encoded.chunks)
    version, keys = config.decode_manifest(encoded.manifest)
    assert version == 64
    assert keys == tuple(key for key, _ in encoded.chunks)
    values = [value for _, value in encoded.chunks]
    decoded = config.decode_snapshot(encoded.manifest, values)
    assert decoded == config.Snapshot(version=64, document=document)
    with pytest.raises(errors.ProtocolError):
        config.decode_snapshot(encoded.manifest, [*values[:-1], b"{}"])


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"{", id="invalid_json_accepted"),
        pytest.param(b"[]", id="list_accepted"),
        pytest.param(b'{"write_id": "w"}', id="missing_fields_accepted"),
        pytest.param(
            b'{"write_id": "w", "base": 0, "patch": 1, "author": ""}',
            id="number_patch_accepted",
        ),
    ],
)
def test_unreadable_entry_is_a_protocol_error(value: bytes) -> None:
    with pytest.raises(errors.ProtocolError):
        config.decode_entry(1, value)


def test_keys_sort_by_version_and_share_range_prefix() -> None:
    assert config.entry_key(99) < config.entry_key(1_000)
    assert config.version_of_key(config.entry_key(1_234)) == 1_234
    assert config.entry_key(164).startswith(config.entry_prefix(128))
    with pytest.raises(errors.ProtocolError):
        config.version_of_key("config/snapshot")


@pytest.mark.parametrize(
    ("patch", "path"),
    [
        pytest.param(
            {"services": {"layout": {"shards": 3}}},
            "services.layout.shards",
            id="request_ids_lost",
        ),
        pytest.param(
            {"services": {"layout": {"shards": None}}},
            "services.layout.shards",
            id="request_ids_lost_by_reset_to_default",
        ),
        pytest.param(
            {"pool": {"pools": 2}},
            "pool.pools",
            id="job_ids_lost",
        ),
    ],
)
def test_number_of_shards_is_fixed(patch: dict, path: str) -> None:
    first = {"services": {"layout": {"shards": 2}}}
    history = config.adopt(
        config.History(),
        config.PatchEntry(
            version=1, base=0, patch=first, author="a", write_id="w"
        ),
    )
    with pytest.raises(errors.RefusedError) as caught:
        config.plan_patch(
            history, base=1, patch=patch, author="a", write_id="w2"
        )
    assert caught.value.reason is errors.Reason.CONFIG_INVALID
    assert caught.value.details["path"] == path
    config.plan_patch(
        history,
        base=1,
        patch={"services": {"render": {"shards": 4}}},
        author="a",
        write_id="w3",
    )
