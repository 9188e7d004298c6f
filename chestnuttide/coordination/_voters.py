"""The voters: their first set and the changes of the set."""

from chestnuttide.coordination import _messages
from chestnuttide.coordination import _promises
from chestnuttide.coordination import _rendezvous
from chestnuttide.coordination import _state

# Key of the rendezvous order in which members propose changes and are chosen.
RANKING_KEY = "voters"


def learn(state: _state.OwnershipState, voters: _messages.VotersRead) -> None:
    """Take note of the voters key; older ones than known are ignored."""
    known = state.voters
    if known is not None and voters.revision <= known.revision:
        return
    if known is None and voters.next_ids:
        # This instance may have acknowledged the proposal before it started.
        state.bound_version = max(state.bound_version, voters.version + 1)
    state.bound_version = max(state.bound_version, voters.version)
    state.voters = voters
    state.voters_since = None
    state.acks.clear()
    state.propose_at = float("-inf")
    if known is not None and known.version != voters.version:
        # Majorities are counted within one version.
        for held in state.held.values():
            held.promises.clear()
        for claim in state.claims.values():
            claim.consents.clear()
        state.promise_ask_at.clear()
        state.consent_ask_at.clear()


def acknowledge(
    state: _state.OwnershipState,
    proposal: _messages.VotersProposal,
    now: float,
) -> _messages.VotersAck | None:
    """Give up the current version of the voters, or return None.

    It is given up only without a promise outstanding, and this instance then
    votes under the new version only.
    """
    voters = state.voters
    if (
        voters is None
        or proposal.version != voters.version + 1
        or state.instance_id not in voters.ids
        or state.instance_id in state.gone_since
        or now < state.started_at + _state.drift_s(state)
        or _promises.outstanding(state, now)
    ):
        return None
    state.bound_version = max(state.bound_version, proposal.version)
    return _messages.VotersAck(
        proposer_incarnation=proposal.proposer_incarnation,
        voter=state.instance_id,
        version=proposal.version,
        revision=proposal.revision,
    )


def take_ack(state: _state.OwnershipState, ack: _messages.VotersAck) -> None:
    """Take note of an acknowledgement of the proposal in the voters key."""
    voters = state.voters
    if (
        voters is not None
        and ack.proposer_incarnation == state.incarnation
        and ack.revision == voters.revision
        and ack.version == voters.version + 1
        and ack.voter in voters.ids
    ):
        state.acks.add(ack.voter)


def step(state: _state.OwnershipState, now: float) -> list[object]:
    """Return the proposals and writes of the voters key that are due."""
    voters = state.voters
    if (
        voters is None
        or state.members is None
        or state.draining
        or not _state.may_write(state, now)
    ):
        return []
    wanted = _wanted(state, voters)
    if not voters.next_ids and set(wanted) == set(voters.ids):
        state.voters_since = None
        return []
    if state.voters_since is None:
        state.voters_since = now
    place = _state.turn(
        RANKING_KEY, _state.candidates(state), state.instance_id
    )
    delay = place * state.settings.voters_step_s
    if voters.version and not voters.next_ids:
        # Instances that start together are added in one change.
        delay += state.settings.voters_step_s
    if now < state.voters_since + delay:
        return []
    if voters.version == 0:
        return _write(state, 1, wanted, (), now)
    gone = state.gone_since.keys()
    if not voters.next_ids or not gone.isdisjoint(voters.next_ids):
        if wanted and set(wanted) != set(voters.next_ids):
            return _write(state, voters.version, voters.ids, wanted, now)
    return _pursue(state, voters, now)


def _wanted(
    state: _state.OwnershipState, voters: _messages.VotersRead
) -> tuple[str, ...]:
    """Return the voters that are not gone, filled up with live members."""
    kept = [one for one in voters.ids if one not in state.gone_since]
    kept = kept[: state.settings.max_voters]
    others = _state.candidates(state) - set(kept) - state.gone_since.keys()
    free = state.settings.max_voters - len(kept)
    added = _rendezvous.top(RANKING_KEY, others, free)
    return tuple(sorted([*kept, *added]))


def _pursue(
    state: _state.OwnershipState,
    voters: _messages.VotersRead,
    now: float,
) -> list[object]:
    outputs: list[object] = []
    if now >= state.propose_at:
        state.propose_at = now + state.settings.request_retry_s
        proposal = _messages.VotersProposal(
            proposer=state.instance_id,
            proposer_incarnation=state.incarnation,
            version=voters.version + 1,
            revision=voters.revision,
        )
        for voter in voters.ids:
            if voter in state.acks:
                continue
            if voter == state.instance_id:
                ack = acknowledge(state, proposal, now)
                if ack is not None:
                    take_ack(state, ack)
            elif voter in state.peers:
                outputs.append(_messages.Send(to=voter, message=proposal))
    count = sum(
        voter in state.acks or _state.counts_as_gone(state, voter, now)
        for voter in voters.ids
    )
    if count >= _state.majority(len(voters.ids)):
        outputs.extend(
            _write(state, voters.version + 1, voters.next_ids, (), now)
        )
    return outputs


def _write(
    state: _state.OwnershipState,
    version: int,
    ids: tuple[str, ...],
    next_ids: tuple[str, ...],
    now: float,
) -> list[object]:
    if now < state.voters_write_at or not ids:
        return []
    # The driver reads the key after the write; until then, or when that
    # fails, the same write is sent again after some time.
    state.voters_write_at = now + state.settings.promise_s / 3
    assert state.voters is not None
    return [
        _messages.WriteVoters(
            expected_revision=state.voters.revision,
            version=version,
            ids=ids,
            next_ids=next_ids,
            write_id=_state.next_write_id(state),
        )
    ]
