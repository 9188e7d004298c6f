"""Single rules of ownership that the simulation hits only rarely."""

import typing

import pytest

from chestnuttide import coordination

PROMISE_S = 3.0
START = 100.0
# Past the quiet time of an instance that started at START.
AWAKE = START + 4.0


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


def _promise(
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


def _consent(
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
            [(_promise(), AWAKE), (_consent(), AWAKE + 2.9)],
            [True, False],
            id="consent_during_promise_makes_two_owners",
        ),
        pytest.param(
            [(_promise(), AWAKE), (_consent(), AWAKE + 3.0)],
            [True, True],
            id="ended_promise_blocks_claims_for_ever",
        ),
        pytest.param(
            [(_promise(6), AWAKE), (_consent(7), AWAKE + 1)],
            [True, False],
            id="consent_for_own_rewrite_that_the_owner_does_not_know",
        ),
        pytest.param(
            [(_consent(), AWAKE), (_promise(), AWAKE + 60)],
            [True, False],
            id="promise_in_flight_while_consent_was_given",
        ),
        pytest.param(
            [(_consent(7), AWAKE), (_promise(8), AWAKE + 1)],
            [True, True],
            id="owner_that_confirmed_its_record_gets_no_promise",
        ),
        pytest.param(
            [(_promise(owner="b"), AWAKE), (_promise(owner="c"), AWAKE)],
            [True, False],
            id="promises_to_two_owners_of_one_shard",
        ),
        pytest.param(
            [(_promise(), START + 3.2), (_consent(), START + 3.2)],
            [False, False],
            id="restarted_voter_forgot_what_it_promised",
        ),
        pytest.param(
            [(_proposal(), START + 3.2)],
            [False],
            id="restarted_voter_acknowledges_with_promises_forgotten",
        ),
        pytest.param(
            [(_promise(), AWAKE), (_proposal(), AWAKE + 2.9)],
            [True, False],
            id="version_given_up_with_promise_outstanding",
        ),
        pytest.param(
            [
                (_proposal(), AWAKE),
                (_promise(), AWAKE),
                (_consent(), AWAKE),
            ],
            [True, False, False],
            id="vote_under_a_version_that_was_given_up",
        ),
        pytest.param(
            [(_proposal(3), AWAKE)],
            [False],
            id="acknowledgement_skips_a_version",
        ),
        pytest.param(
            [(_promise(version=2), AWAKE), (_consent(version=0), AWAKE)],
            [False, False],
            id="vote_under_a_version_that_was_not_read",
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
            id="acknowledged_proposal_forgotten_by_restart",
        ),
        pytest.param({"ids": ("b", "c")}, frozenset(), id="no_voter_votes"),
        pytest.param({}, frozenset({"a"}), id="counted_as_gone_and_votes"),
    ],
)
def test_instance_that_must_not_vote(
    voters: dict, gone: frozenset[str]
) -> None:
    _, run = _voter(**voters)
    run(coordination.InstancesGone(ids=gone), START)
    assert not _granted(run(_promise(), AWAKE))
    assert not _granted(run(_consent(), AWAKE))


def _owner(
    now: float = AWAKE,
) -> tuple[coordination.OwnershipState, typing.Any]:
    """Return an owner of shard s whose lease ends at ``now + 1.8``."""
    state, run = _voter()
    run(coordination.PeersConnected(ids=frozenset({"b", "c"})), now)
    run(coordination.DesiredShards(shards=frozenset({"s"})), now)
    run(coordination.ShardRecordsRead(records=()), now)
    run(_members("a"), now)
    [write] = _of(run(_renewed(now, 1), now), coordination.WriteShardRecord)
    _answer(run, write, 10, now)
    assert coordination.may_act(state, "s", now)
    return state, run


def _renewed(now: float, lease_id: int) -> coordination.LeaseRenewed:
    return coordination.LeaseRenewed(sent_at=now, ttl_s=2.0, lease_id=lease_id)


def _members(*ids: str, sent_at: float = AWAKE) -> coordination.MembersRead:
    return coordination.MembersRead(
        members=tuple(
            coordination.Member(instance_id=one, incarnation="i")
            for one in ids
        ),
        sent_at=sent_at,
    )


def _of(outputs: list, kind: type) -> list:
    return [one for one in outputs if isinstance(one, kind)]


def _answer(
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


def _requests(outputs: list, kind: type) -> dict[str, typing.Any]:
    return {
        send.to: send.message
        for send in _of(outputs, coordination.Send)
        if isinstance(send.message, kind)
    }


def _reply(
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


_DOWN = coordination.StoreReachable(reachable=False)


@pytest.mark.parametrize(
    ("replied_at", "asked_at", "expected"),
    [
        pytest.param(1.0, 2.0, True, id="promises_do_not_continue_ownership"),
        pytest.param(1.0, 3.1, False, id="promise_counted_from_its_receipt"),
        pytest.param(1.9, 1.95, False, id="late_promise_closes_a_gap"),
    ],
)
def test_promises_of_an_owner(
    replied_at: float, asked_at: float, expected: bool
) -> None:
    state, run = _owner()
    # The voters b and c are asked at 0.3; a promises itself.
    sends = _requests(run(_DOWN, AWAKE + 0.3), coordination.PromiseRequest)
    assert sorted(sends) == ["b", "c"]
    run(_reply(sends["b"], "b"), AWAKE + replied_at)
    assert coordination.may_act(state, "s", AWAKE + asked_at) is expected


def test_minority_of_promises_continues_ownership() -> None:
    state, run = _owner()
    run(_DOWN, AWAKE + 0.3)
    assert coordination.may_act(state, "s", AWAKE + 1.7)
    assert not coordination.may_act(state, "s", AWAKE + 1.8)


def test_new_lease_covers_a_record_of_the_old_one() -> None:
    state, run = _owner()
    run(coordination.LeaseLost(), AWAKE + 1)
    assert not coordination.may_act(state, "s", AWAKE + 1)
    outputs = run(_renewed(AWAKE + 1, 2), AWAKE + 1)
    assert not coordination.may_act(state, "s", AWAKE + 1)
    [write] = _of(outputs, coordination.WriteShardRecord)
    assert (write.expected_revision, write.record.epoch) == (10, 1)
    assert _answer(run, write, 11, AWAKE + 1.1) == []
    assert coordination.may_act(state, "s", AWAKE + 1.1)


def _claimant(
    gone: frozenset[str] = frozenset(),
) -> tuple[coordination.OwnershipState, typing.Any]:
    """Return an instance that wants shard s, held by the dead b."""
    state, run = _voter()
    run(coordination.PeersConnected(ids=frozenset({"c"})), AWAKE)
    run(coordination.DesiredShards(shards=frozenset({"s"})), AWAKE)
    run(coordination.InstancesGone(ids=gone), AWAKE)
    record = coordination.ShardRecord(
        owner="b", incarnation="i", session=3, epoch=4
    )
    run(
        coordination.ShardRecordsRead(
            records=(
                coordination.ReadRecord(shard="s", record=record, revision=7),
            )
        ),
        AWAKE,
    )
    run(_renewed(AWAKE, 1), AWAKE)
    return state, run


def _consents(
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
        pytest.param(("a",), 0.1, 1, id="dead_owner_keeps_the_shard"),
        pytest.param(("a", "b"), 0.1, 0, id="claim_from_a_live_owner"),
        pytest.param(
            ("a",), -0.1, 0, id="members_read_before_the_owner_came_back"
        ),
    ],
)
def test_claim_asks_for_consents(
    members: tuple[str, ...], sent_at: float, expected: int
) -> None:
    _, run = _claimant()
    outputs = run(_members(*members, sent_at=AWAKE + sent_at), AWAKE + 0.2)
    sends = _requests(outputs, coordination.ConsentRequest)
    assert len(sends) == expected
    assert _of(outputs, coordination.WriteShardRecord) == []


@pytest.mark.parametrize(
    ("delay", "writes"),
    [
        pytest.param(0.1, 1, id="majority_of_consents_is_not_enough"),
        pytest.param(2.8, 0, id="consent_outlasts_the_voters_quiet_time"),
    ],
)
def test_claim_with_consents(delay: float, writes: int) -> None:
    state, run = _claimant()
    outputs = run(_members("a", sent_at=AWAKE + 0.1), AWAKE + 0.1)
    request = _requests(outputs, coordination.ConsentRequest)["c"]
    run(_renewed(AWAKE + delay, 1), AWAKE + delay)
    outputs = run(_consents(request, "c"), AWAKE + 0.1 + delay)
    found = _of(outputs, coordination.WriteShardRecord)
    assert len(found) == writes
    for write in found:
        assert (write.expected_revision, write.record.epoch) == (7, 5)
        [acquired] = _answer(run, write, 8, AWAKE + 0.1 + delay)
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
    run(coordination.PeersConnected(ids=frozenset()), AWAKE)
    run(_members("a", sent_at=AWAKE + 0.1), AWAKE + 0.1)
    outputs = run(_renewed(AWAKE + delay, 1), AWAKE + delay)
    assert len(_of(outputs, coordination.WriteShardRecord)) == writes


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
    run(_members("a", sent_at=AWAKE + 0.1), AWAKE + 0.1)
    outputs = run(_renewed(AWAKE + 1.2, 1), AWAKE + 1.2)
    [proposal] = _of(outputs, coordination.WriteVoters)
    assert (proposal.version, proposal.next_ids) == (1, ("a", "c"))
    outputs = run(
        coordination.VotersRead(
            version=1, ids=("a", "b", "c"), revision=9, next_ids=("a", "c")
        ),
        AWAKE + 1.3,
    )
    outputs += run(_renewed(AWAKE + 2.6, 1), AWAKE + 2.6)
    assert set(_requests(outputs, coordination.VotersProposal)) == {"c"}
    assert _of(outputs, coordination.WriteVoters) == []
    written: list = []
    for voter, revision in acks:
        ack = coordination.VotersAck(
            proposer_incarnation="i",
            voter=voter,
            version=2,
            revision=revision,
        )
        written += _of(run(ack, AWAKE + 2.7), coordination.WriteVoters)
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
def test_turns_of_claims(others: int, delay: float, expected: bool) -> None:
    members = ["a", *(f"m{number}" for number in range(others))]
    # A shard for which this instance is the least preferred member.
    [shard, *_] = [
        name
        for name in (f"s{number}" for number in range(100))
        if coordination.rank_members(name, members)[-1] == "a"
    ]
    _, run = _voter()
    run(coordination.DesiredShards(shards=frozenset({shard})), AWAKE)
    run(coordination.ShardRecordsRead(records=()), AWAKE)
    run(_members(*members), AWAKE)
    outputs: list = []
    for step in range(int(delay) + 1):
        outputs = run(_renewed(AWAKE + step, 1), AWAKE + step)
    assert bool(_of(outputs, coordination.WriteShardRecord)) is expected


def test_released_shard_waits_for_its_former_owner() -> None:
    state, run = _owner()
    residual = {"t": (1.5,)}
    message = coordination.ReleaseRequested(shard="s", residual=residual)
    [write] = run(message, AWAKE + 0.1)
    assert not coordination.may_act(state, "s", AWAKE + 0.1)
    assert write.record.state == coordination.RELEASED
    assert write.record.residual == residual
    value = coordination.encode_record(write.record)
    assert coordination.decode_record(value) == write.record
    lost = coordination.ShardLost(
        shard="s", epoch=1, reason=coordination.LOST_RELEASED
    )
    assert lost in _answer(run, write, 11, AWAKE + 0.2)


def test_drain_gives_up_few_shards_at_a_time() -> None:
    state, run = _voter()
    names = [f"s{number}" for number in range(9)]
    run(coordination.DesiredShards(shards=frozenset(names)), AWAKE)
    run(coordination.ShardRecordsRead(records=()), AWAKE)
    run(_members("a", "b"), AWAKE)
    now = AWAKE + 1.5
    run(_renewed(AWAKE, 1), AWAKE)
    for write in _of(
        run(_renewed(now, 1), now), coordination.WriteShardRecord
    ):
        _answer(run, write, 20 + int(write.shard[1:]), now)
    held = [one for one in names if coordination.held_epoch(state, one)]
    moves = _of(run(coordination.Drain(), now), coordination.ShouldRelease)
    assert {one.to for one in moves} <= {"b"}
    assert len(moves) == min(len(held), 4)


@pytest.mark.parametrize(
    ("asked_at", "ticks", "promised"),
    [
        pytest.param(20.1, [20.0], True, id="voter_without_pause_refuses"),
        pytest.param(26.0, [20.0], False, id="old_request_before_the_tick"),
        pytest.param(
            26.2, [20.0, 26.0], False, id="old_request_after_the_tick"
        ),
        pytest.param(
            26.4, [20.0, 26.0], True, id="voter_stays_silent_after_a_pause"
        ),
    ],
)
def test_requests_that_waited_during_a_pause_get_no_promise(
    asked_at: float, ticks: list[float], promised: bool
) -> None:
    """Guards against a takeover that waits for promises of no use."""
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
    (sent,) = run(request, asked_at)
    assert bool(sent.message.shards) == promised
