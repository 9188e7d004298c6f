"""Tests of ownership rules that the random simulation rarely exercises."""

import typing

import pytest

from chestnuttide import coordination

PROMISE_S = 3.0
START = 100.0
# After the time for which an instance started at START must not vote.
VOTING_FROM = START + 4.0


def _voter(
    version: int = 1, ids: tuple[str, ...] = ("a", "b", "c"), **voters: object
) -> tuple[coordination.OwnershipState, typing.Any]:
    state = coordination.make_ownership_state(
        instance_id="a", incarnation="i", now=START
    )
    run = coordination.make_ownership_filter(state=state)
    run(
        coordination.VotersRead(
            version=version, ids=ids, revision=5, **voters
        ),
        START,
    )
    return state, run


def _promise_request(
    revision: int = 7, version: int = 1, owner: str = "b"
) -> coordination.PromiseRequest:
    return coordination.PromiseRequest(
        request_id=1,
        owner=owner,
        incarnation="i",
        version=version,
        promise_s=PROMISE_S,
        shards=(("s", revision),),
    )


def _consent_request(
    revision: int = 7, version: int = 1
) -> coordination.ConsentRequest:
    return coordination.ConsentRequest(
        request_id=2,
        claimant="c",
        claimant_incarnation="i",
        owner="b",
        incarnation="i",
        version=version,
        shards=(("s", revision),),
    )


def _proposal(version: int = 2) -> coordination.VotersProposal:
    return coordination.VotersProposal(
        proposer="c", proposer_incarnation="i", version=version, revision=6
    )


def _granted(outputs: list) -> bool:
    if not outputs:
        return False
    [send] = outputs
    if isinstance(send.message, coordination.VotersAck):
        return True
    return bool(send.message.shards)


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        pytest.param(
            [
                (_promise_request(), VOTING_FROM),
                (_consent_request(), VOTING_FROM + 2.9),
            ],
            [True, False],
            id="consent_during_promise_makes_two_owners",
        ),
        pytest.param(
            [
                (_promise_request(), VOTING_FROM),
                (_consent_request(), VOTING_FROM + 3.0),
            ],
            [True, True],
            id="expired_promise_blocks_claims_forever",
        ),
        pytest.param(
            [
                (_promise_request(6), VOTING_FROM),
                (_consent_request(7), VOTING_FROM + 1),
            ],
            [True, False],
            id="consent_after_rewrite_unknown_to_the_owner",
        ),
        pytest.param(
            [
                (_consent_request(), VOTING_FROM),
                (_promise_request(), VOTING_FROM + 60),
            ],
            [True, False],
            id="promise_after_consent_makes_two_owners",
        ),
        pytest.param(
            [
                (_consent_request(7), VOTING_FROM),
                (_promise_request(8), VOTING_FROM + 1),
            ],
            [True, True],
            id="confirmed_owner_gets_no_promise",
        ),
        pytest.param(
            [
                (_promise_request(owner="b"), VOTING_FROM),
                (_promise_request(owner="c"), VOTING_FROM),
            ],
            [True, False],
            id="promises_to_two_owners_of_one_shard",
        ),
        pytest.param(
            [
                (_promise_request(), START + 3.2),
                (_consent_request(), START + 3.2),
            ],
            [False, False],
            id="restarted_voter_votes_without_its_promises",
        ),
        pytest.param(
            [(_proposal(), START + 3.2)],
            [False],
            id="restarted_voter_acknowledges_without_its_promises",
        ),
        pytest.param(
            [
                (_promise_request(), VOTING_FROM),
                (_proposal(), VOTING_FROM + 2.9),
            ],
            [True, False],
            id="version_given_up_with_outstanding_promise",
        ),
        pytest.param(
            [
                (_proposal(), VOTING_FROM),
                (_promise_request(), VOTING_FROM),
                (_consent_request(), VOTING_FROM),
            ],
            [True, False, False],
            id="vote_under_a_version_given_up",
        ),
        pytest.param(
            [(_proposal(3), VOTING_FROM)],
            [False],
            id="acknowledgement_skips_a_version",
        ),
        pytest.param(
            [
                (_promise_request(version=2), VOTING_FROM),
                (_consent_request(version=0), VOTING_FROM),
            ],
            [False, False],
            id="vote_under_a_version_not_read",
        ),
    ],
)
def test_voter(steps: list, expected: list[bool]) -> None:
    _, run = _voter()
    assert [_granted(run(one, now)) for one, now in steps] == expected


@pytest.mark.parametrize(
    ("voters", "gone"),
    [
        pytest.param(
            {"next_ids": ("a", "b")},
            frozenset(),
            id="restart_loses_acknowledged_proposal",
        ),
        pytest.param({"ids": ("b", "c")}, frozenset(), id="non_voter_votes"),
        pytest.param({}, frozenset({"a"}), id="instance_listed_as_gone_votes"),
    ],
)
def test_instance_that_must_not_vote(
    voters: dict, gone: frozenset[str]
) -> None:
    _, run = _voter(**voters)
    run(coordination.InstancesGone(ids=gone), START)
    assert not _granted(run(_promise_request(), VOTING_FROM))
    assert not _granted(run(_consent_request(), VOTING_FROM))


def _owner(
    now: float = VOTING_FROM,
) -> tuple[coordination.OwnershipState, typing.Any]:
    """Return an owner of shard s whose lease ends at ``now + 1.8``."""
    state, run = _voter()
    run(coordination.PeersConnected(ids=frozenset({"b", "c"})), now)
    run(coordination.DesiredShards(shards=frozenset({"s"})), now)
    run(coordination.ShardRecordsRead(records=()), now)
    run(_members("a"), now)
    [write] = _select(
        run(_renewed(now, 1), now), coordination.WriteShardRecord
    )
    _confirm_write(run, write, 10, now)
    assert coordination.may_act(state, "s", now)
    return state, run


def _renewed(now: float, lease_id: int) -> coordination.LeaseRenewed:
    return coordination.LeaseRenewed(sent_at=now, ttl_s=2.0, lease_id=lease_id)


def _members(
    *ids: str, sent_at: float = VOTING_FROM
) -> coordination.MembersRead:
    return coordination.MembersRead(
        members=tuple(
            coordination.Member(instance_id=one, incarnation="i")
            for one in ids
        ),
        sent_at=sent_at,
    )


def _select(outputs: list, kind: type) -> list:
    return [one for one in outputs if isinstance(one, kind)]


def _confirm_write(
    run: typing.Any,
    write: coordination.WriteShardRecord,
    revision: int,
    now: float,
) -> list:
    return run(
        coordination.ClaimResult(
            shard=write.shard,
            ok=True,
            record=write.record,
            revision=revision,
            write_id=write.write_id,
        ),
        now,
    )


def _requests_by_voter(outputs: list, kind: type) -> dict[str, typing.Any]:
    return {
        send.to: send.message
        for send in _select(outputs, coordination.Send)
        if isinstance(send.message, kind)
    }


def _promise_reply(
    request: coordination.PromiseRequest, voter: str
) -> coordination.PromiseReply:
    return coordination.PromiseReply(
        request_id=request.request_id,
        incarnation=request.incarnation,
        voter=voter,
        version=request.version,
        promise_s=request.promise_s,
        shards=tuple(shard for shard, _ in request.shards),
    )


_STORE_UNREACHABLE = coordination.StoreReachable(reachable=False)


@pytest.mark.parametrize(
    ("replied_at", "checked_at", "expected"),
    [
        pytest.param(1.0, 2.0, True, id="promises_do_not_extend_ownership"),
        pytest.param(1.0, 3.1, False, id="promise_counted_from_its_receipt"),
        pytest.param(
            1.9, 1.95, False, id="late_promise_restores_lost_ownership"
        ),
    ],
)
def test_promises_of_an_owner(
    replied_at: float, checked_at: float, expected: bool
) -> None:
    state, run = _owner()
    # Voters b and c receive requests at 0.3; voter a promises to itself.
    sends = _requests_by_voter(
        run(_STORE_UNREACHABLE, VOTING_FROM + 0.3), coordination.PromiseRequest
    )
    assert sorted(sends) == ["b", "c"]
    run(_promise_reply(sends["b"], "b"), VOTING_FROM + replied_at)
    assert (
        coordination.may_act(state, "s", VOTING_FROM + checked_at) is expected
    )


def test_minority_of_promises_does_not_extend_ownership() -> None:
    state, run = _owner()
    run(_STORE_UNREACHABLE, VOTING_FROM + 0.3)
    assert coordination.may_act(state, "s", VOTING_FROM + 1.7)
    assert not coordination.may_act(state, "s", VOTING_FROM + 1.8)


def test_new_lease_does_not_cover_an_old_record() -> None:
    state, run = _owner()
    run(coordination.LeaseLost(), VOTING_FROM + 1)
    assert not coordination.may_act(state, "s", VOTING_FROM + 1)
    outputs = run(_renewed(VOTING_FROM + 1, 2), VOTING_FROM + 1)
    assert not coordination.may_act(state, "s", VOTING_FROM + 1)
    [write] = _select(outputs, coordination.WriteShardRecord)
    assert (write.expected_revision, write.record.epoch) == (10, 1)
    assert _confirm_write(run, write, 11, VOTING_FROM + 1.1) == []
    assert coordination.may_act(state, "s", VOTING_FROM + 1.1)


def _claimant(
    gone: frozenset[str] = frozenset(),
) -> tuple[coordination.OwnershipState, typing.Any]:
    """Return an instance that claims shard s of the failed owner b."""
    state, run = _voter()
    run(coordination.PeersConnected(ids=frozenset({"c"})), VOTING_FROM)
    run(coordination.DesiredShards(shards=frozenset({"s"})), VOTING_FROM)
    run(coordination.InstancesGone(ids=gone), VOTING_FROM)
    record = coordination.ShardRecord(
        owner="b", incarnation="i", session=3, epoch=4
    )
    run(
        coordination.ShardRecordsRead(
            records=(
                coordination.ReadRecord(shard="s", record=record, revision=7),
            )
        ),
        VOTING_FROM,
    )
    run(_renewed(VOTING_FROM, 1), VOTING_FROM)
    return state, run


def _consent_reply(
    request: coordination.ConsentRequest, voter: str
) -> coordination.ConsentReply:
    return coordination.ConsentReply(
        request_id=request.request_id,
        claimant_incarnation="i",
        voter=voter,
        version=request.version,
        valid_s=PROMISE_S,
        shards=("s",),
    )


@pytest.mark.parametrize(
    ("members", "sent_at", "expected"),
    [
        pytest.param(("a",), 0.1, 1, id="failed_owner_keeps_the_shard"),
        pytest.param(("a", "b"), 0.1, 0, id="shard_of_a_live_owner_claimed"),
        pytest.param(
            ("a",), -0.1, 0, id="members_read_before_the_owner_returned"
        ),
    ],
)
def test_claim_requests_consents(
    members: tuple[str, ...], sent_at: float, expected: int
) -> None:
    _, run = _claimant()
    outputs = run(
        _members(*members, sent_at=VOTING_FROM + sent_at), VOTING_FROM + 0.2
    )
    sends = _requests_by_voter(outputs, coordination.ConsentRequest)
    assert len(sends) == expected
    assert _select(outputs, coordination.WriteShardRecord) == []


@pytest.mark.parametrize(
    ("delay", "writes"),
    [
        pytest.param(0.1, 1, id="majority_of_consents_is_insufficient"),
        pytest.param(2.8, 0, id="consent_used_after_its_validity"),
    ],
)
def test_claim_with_consents(delay: float, writes: int) -> None:
    state, run = _claimant()
    outputs = run(_members("a", sent_at=VOTING_FROM + 0.1), VOTING_FROM + 0.1)
    request = _requests_by_voter(outputs, coordination.ConsentRequest)["c"]
    run(_renewed(VOTING_FROM + delay, 1), VOTING_FROM + delay)
    outputs = run(_consent_reply(request, "c"), VOTING_FROM + 0.1 + delay)
    found = _select(outputs, coordination.WriteShardRecord)
    assert len(found) == writes
    for write in found:
        assert (write.expected_revision, write.record.epoch) == (7, 5)
        [acquired] = _confirm_write(run, write, 8, VOTING_FROM + 0.1 + delay)
        assert acquired.previous.owner == "b"
        assert not acquired.clean


@pytest.mark.parametrize(
    ("delay", "writes"),
    [
        pytest.param(3.2, 0, id="gone_voter_counts_during_its_last_promise"),
        pytest.param(3.4, 1, id="gone_voters_block_the_last_instance"),
    ],
)
def test_claim_with_gone_voters(delay: float, writes: int) -> None:
    state, run = _claimant(gone=frozenset({"b", "c"}))
    run(coordination.PeersConnected(ids=frozenset()), VOTING_FROM)
    run(_members("a", sent_at=VOTING_FROM + 0.1), VOTING_FROM + 0.1)
    outputs = run(_renewed(VOTING_FROM + delay, 1), VOTING_FROM + delay)
    assert len(_select(outputs, coordination.WriteShardRecord)) == writes


@pytest.mark.parametrize(
    ("acks", "version"),
    [
        pytest.param((), None, id="voters_changed_without_acknowledgement"),
        pytest.param(
            (("c", 8),), None, id="acknowledgement_of_another_proposal"
        ),
        pytest.param((("c", 9),), 2, id="majority_cannot_change_the_voters"),
    ],
)
def test_change_of_voters(
    acks: tuple[tuple[str, int], ...], version: int | None
) -> None:
    _, run = _claimant(gone=frozenset({"b"}))
    run(_members("a", sent_at=VOTING_FROM + 0.1), VOTING_FROM + 0.1)
    outputs = run(_renewed(VOTING_FROM + 1.2, 1), VOTING_FROM + 1.2)
    [proposal] = _select(outputs, coordination.WriteVoters)
    assert (proposal.version, proposal.next_ids) == (1, ("a", "c"))
    outputs = run(
        coordination.VotersRead(
            version=1, ids=("a", "b", "c"), revision=9, next_ids=("a", "c")
        ),
        VOTING_FROM + 1.3,
    )
    outputs += run(_renewed(VOTING_FROM + 2.6, 1), VOTING_FROM + 2.6)
    assert set(_requests_by_voter(outputs, coordination.VotersProposal)) == {
        "c"
    }
    assert _select(outputs, coordination.WriteVoters) == []
    written: list = []
    for voter, revision in acks:
        ack = coordination.VotersAck(
            proposer_incarnation="i",
            voter=voter,
            version=2,
            revision=revision,
        )
        written += _select(
            run(ack, VOTING_FROM + 2.7), coordination.WriteVoters
        )
    assert [one.version for one in written] == (
        [] if version is None else [version]
    )


@pytest.mark.parametrize(
    ("others", "delay", "expected"),
    [
        pytest.param(3, 0.0, False, id="all_members_claim_at_once"),
        pytest.param(3, 3.0, True, id="preferred_member_cannot_claim"),
        pytest.param(0, 0.0, True, id="single_instance_waits"),
    ],
)
def test_claim_delay_by_rank(
    others: int, delay: float, expected: bool
) -> None:
    members = ["a", *(f"m{number}" for number in range(others))]
    # Choose a shard for which this instance is the least preferred member.
    [shard, *_] = [
        name
        for name in (f"s{number}" for number in range(100))
        if coordination.rank_members(name, members)[-1] == "a"
    ]
    _, run = _voter()
    run(coordination.DesiredShards(shards=frozenset({shard})), VOTING_FROM)
    run(coordination.ShardRecordsRead(records=()), VOTING_FROM)
    run(_members(*members), VOTING_FROM)
    outputs: list = []
    for step in range(int(delay) + 1):
        outputs = run(_renewed(VOTING_FROM + step, 1), VOTING_FROM + step)
    assert bool(_select(outputs, coordination.WriteShardRecord)) is expected


def test_released_shard_stops_and_stores_its_residual() -> None:
    state, run = _owner()
    residual = {"t": (1.5,)}
    message = coordination.ReleaseRequested(shard="s", residual=residual)
    [write] = run(message, VOTING_FROM + 0.1)
    assert not coordination.may_act(state, "s", VOTING_FROM + 0.1)
    assert write.record.state == coordination.RELEASED
    assert write.record.residual == residual
    value = coordination.encode_record(write.record)
    assert coordination.decode_record(value) == write.record
    lost = coordination.ShardLost(
        shard="s", epoch=1, reason=coordination.LOST_RELEASED
    )
    assert lost in _confirm_write(run, write, 11, VOTING_FROM + 0.2)


def test_drain_releases_few_shards_at_a_time() -> None:
    state, run = _voter()
    names = [f"s{number}" for number in range(9)]
    run(coordination.DesiredShards(shards=frozenset(names)), VOTING_FROM)
    run(coordination.ShardRecordsRead(records=()), VOTING_FROM)
    run(_members("a", "b"), VOTING_FROM)
    now = VOTING_FROM + 1.5
    run(_renewed(VOTING_FROM, 1), VOTING_FROM)
    for write in _select(
        run(_renewed(now, 1), now), coordination.WriteShardRecord
    ):
        _confirm_write(run, write, 20 + int(write.shard[1:]), now)
    held = [one for one in names if coordination.held_epoch(state, one)]
    moves = _select(run(coordination.Drain(), now), coordination.ShouldRelease)
    assert {one.to for one in moves} <= {"b"}
    assert len(moves) == min(len(held), 4)


@pytest.mark.parametrize(
    ("requested_at", "ticks", "promised"),
    [
        pytest.param(20.1, [20.0], True, id="voter_without_pause_refuses"),
        pytest.param(
            26.0, [20.0], False, id="stale_request_promised_before_the_tick"
        ),
        pytest.param(
            26.2,
            [20.0, 26.0],
            False,
            id="stale_request_promised_after_the_tick",
        ),
        pytest.param(
            26.4, [20.0, 26.0], True, id="voter_keeps_refusing_after_a_pause"
        ),
    ],
)
def test_requests_queued_during_a_pause_get_no_promise(
    requested_at: float, ticks: list[float], promised: bool
) -> None:
    """Guards against a takeover that waits for promises to stale requests."""
    state = coordination.make_ownership_state(
        instance_id="a", incarnation="1", now=0.0
    )
    run = coordination.make_ownership_filter(state=state)
    run(
        coordination.VotersRead(version=1, ids=("a", "b", "c"), revision=1),
        1.0,
    )
    for tick in ticks:
        run(coordination.Tick(), tick)
    request = coordination.PromiseRequest(
        request_id=1,
        owner="b",
        incarnation="1",
        version=1,
        promise_s=3.0,
        shards=(("workers/0", 5),),
    )
    (sent,) = run(request, requested_at)
    assert bool(sent.message.shards) == promised
