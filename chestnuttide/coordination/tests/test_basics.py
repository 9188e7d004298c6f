"""Tests of rendezvous hashing, token buckets, leases, codecs and recovery."""

import doctest

import pytest
import xxhash

from chestnuttide import coordination
from chestnuttide import errors


def test_only_keys_of_the_member_that_left_move() -> None:
    members = [f"n{number}" for number in range(8)]
    keys = [f"k{number}" for number in range(800)]
    before = {key: coordination.preferred_member(key, members) for key in keys}
    after = {
        key: coordination.preferred_member(key, members[1:]) for key in keys
    }
    moved = {before[key] for key in keys if before[key] != after[key]}
    assert moved == {"n0"}
    counts = [list(before.values()).count(one) for one in members]
    assert min(counts) > 60


@pytest.mark.parametrize(
    ("members", "count", "expected"),
    [
        pytest.param([], 3, 0, id="no_members_raises"),
        pytest.param(
            ["a", "a", "b"], 3, 2, id="duplicate_member_counted_twice"
        ),
        pytest.param(["a", "b", "c"], 2, 2, id="more_members_than_requested"),
    ],
)
def test_top_members(members: list, count: int, expected: int) -> None:
    found = coordination.top_members("key", members, count)
    assert len(found) == expected
    assert found == coordination.rank_members("key", members[::-1])[:count]


def test_bucket_never_grants_more_than_rate_and_burst() -> None:
    bucket = coordination.make_token_bucket(2.0, 3.0, 0.0)
    granted = sum(
        coordination.take_tokens(bucket, step / 100) for step in range(1000)
    )
    assert granted in (22, 23)
    while coordination.take_tokens(bucket, 10.0):
        pass
    wait = coordination.token_wait_s(bucket, 10.0)
    assert not coordination.take_tokens(bucket, 10.0 + wait - 0.01)
    assert coordination.take_tokens(bucket, 10.0 + wait + 0.01)


@pytest.mark.parametrize(
    ("sent_at", "lease_id", "now", "expected"),
    [
        pytest.param(1.0, 7, 2.79, True, id="expires_too_early"),
        pytest.param(
            1.0, 7, 2.8, False, id="validity_counted_from_the_answer"
        ),
        pytest.param(-1.0, 7, 1.79, True, id="late_answer_shortens_lease"),
        pytest.param(-1.0, 8, 1.0, False, id="other_lease_extends_validity"),
    ],
)
def test_lease(
    sent_at: float, lease_id: int, now: float, expected: bool
) -> None:
    lease = coordination.renew_lease(None, 7, 0.0, 2.0)
    lease = coordination.renew_lease(lease, lease_id, sent_at, 2.0)
    assert coordination.lease_may_act(lease, now) is expected


@pytest.mark.parametrize(
    "decode",
    [
        coordination.decode_record,
        coordination.decode_member,
        lambda value: coordination.decode_voters(value, 1),
        coordination.decode_batch,
        coordination.decode_manifest,
        coordination.decode_chunk,
    ],
)
@pytest.mark.parametrize("value", [b"", b"\xff", b"\x80", b"\x83\x01\x02\x03"])
def test_undecodable_value_raises_protocol_error(
    decode: object, value: bytes
) -> None:
    with pytest.raises(errors.ProtocolError):
        decode(value)


def _batch(seq: int, epoch: int, slot: int) -> coordination.StoredEntry:
    return coordination.StoredEntry(
        key=coordination.ring_key("s", slot),
        value=coordination.encode_batch(seq, epoch, [b"e%d" % seq]),
        revision=seq + 1,
    )


@pytest.mark.parametrize(
    "ring",
    [
        pytest.param(
            [_batch(0, 1, 0), _batch(2, 1, 2)], id="missing_batch_accepted"
        ),
        pytest.param(
            [_batch(0, 2, 0), _batch(1, 1, 1)],
            id="older_epoch_after_newer_accepted",
        ),
        pytest.param([_batch(1, 1, 0)], id="batch_in_wrong_slot_accepted"),
    ],
)
def test_recovery_rejects_inconsistent_keys(ring: list) -> None:
    with pytest.raises(errors.ProtocolError):
        coordination.plan_recovery(
            shard="s", manifest=None, chunks=(), ring=ring
        )


@pytest.mark.parametrize(
    ("data", "accepted"),
    [
        pytest.param([b"one", b"two"], True, id="valid_snapshot_rejected"),
        pytest.param(
            [b"one", b"too"], False, id="chunk_of_other_snapshot_accepted"
        ),
        pytest.param([b"one"], False, id="missing_chunk_accepted"),
    ],
)
def test_recovery_checks_the_snapshot(data: list, accepted: bool) -> None:
    manifest = coordination.Manifest(
        epoch=1,
        generation=1,
        chunks=2,
        base_seq=3,
        checksum=xxhash.xxh64_intdigest(b"onetwo"),
    )
    chunks = [
        coordination.StoredEntry(
            key=coordination.chunk_key("s", 1, index),
            value=coordination.encode_chunk(1, one),
            revision=index + 1,
        )
        for index, one in enumerate(data)
    ]
    entry = coordination.StoredEntry(
        key=coordination.manifest_key("s"),
        value=coordination.encode_manifest(manifest),
        revision=9,
    )

    def recover() -> coordination.Recovery:
        return coordination.plan_recovery(
            shard="s", manifest=entry, chunks=chunks, ring=[_batch(3, 1, 3)]
        )

    if not accepted:
        with pytest.raises(errors.ProtocolError):
            recover()
        return
    found = recover()
    assert (found.snapshot, found.next_seq) == (b"onetwo", 4)


def test_journal_with_higher_epoch_is_not_continued() -> None:
    recovery = coordination.plan_recovery(
        shard="s", manifest=None, chunks=(), ring=[_batch(0, 5, 0)]
    )
    assert (recovery.next_seq, recovery.events) == (1, (b"e0",))
    with pytest.raises(errors.DeposedError):
        coordination.make_journal_state(
            shard="s", epoch=4, recovery=recovery, make_write_id=str
        )


def test_package_docstring_examples() -> None:
    assert doctest.testmod(coordination).failed == 0
