"""The set of voters: its first choice and later changes."""

from chestnuttide.coordination import _messages
from chestnuttide.coordination import _promises
from chestnuttide.coordination import _rendezvous
from chestnuttide.coordination import _state

# Key that ranks the members, both as proposers of changes and as voters.
RANKING_KEY = "voters"


def update_voters(
    state: _state.OwnershipState, voters: _messages.VotersRead
) -> None:
    """Store the voters as read if they are newer than the known ones."""
    known = state.voters
    if known is not None and voters.revision <= known.revision:
        return
    if known is None and voters.next_ids:
        # This instance may have acknowledged the proposal before a restart.
        state.min_voters_version = max(
            state.min_voters_version, voters.version + 1
        )
    state.min_voters_version = max(state.min_voters_version, voters.version)
    state.voters = voters
    state.voters_outdated_since = None
    state.acks.clear()
    state.next_proposal_at = float("-inf")
    if known is not None and known.version != voters.version:
        # Promises and consents form a majority only within one version.
        for held in state.held.values():
            held.promises.clear()
        for claim in state.claims.values():
            claim.consents.clear()
        state.next_promise_request_at.clear()
        state.next_consent_request_at.clear()


def acknowledge(
    state: _state.OwnershipState,
    proposal: _messages.VotersProposal,
    now: float,
) -> _messages.VotersAck | None:
    """Acknowledge a proposal to replace the voters, or return None.

    The current version is given up only without an outstanding promise; from
    then on this instance votes only under the new version.
    """
    voters = state.voters
    if (
        voters is None
        or proposal.version != voters.version + 1
        or state.instance_id not in voters.ids
        or state.instance_id in state.gone_since
        or now < state.started_at + _state.promise_wait_s(state)
        or _promises.has_outstanding_promise(state, now)
    ):
        return None
    state.min_voters_version = max(state.min_voters_version, proposal.version)
    return _messages.VotersAck(
        proposer_incarnation=proposal.proposer_incarnation,
        voter=state.instance_id,
        version=proposal.version,
        revision=proposal.revision,
    )


def record_ack(state: _state.OwnershipState, ack: _messages.VotersAck) -> None:
    """Record an acknowledgement of the proposal in the voters key."""
    voters = state.voters
    if (
        voters is not None
        and ack.proposer_incarnation == state.incarnation
        and ack.revision == voters.revision
        and ack.version == voters.version + 1
        and ack.voter in voters.ids
    ):
        state.acks.add(ack.voter)


def advance(state: _state.OwnershipState, now: float) -> list[object]:
    """Return the proposals and the writes of the voters key that are due."""
    voters = state.voters
    if (
        voters is None
        or state.members is None
        or state.draining
        or not _state.may_write(state, now)
    ):
        return []
    chosen = _choose_voters(state, voters)
    if not voters.next_ids and set(chosen) == set(voters.ids):
        state.voters_outdated_since = None
        return []
    if state.voters_outdated_since is None:
        state.voters_outdated_since = now
    rank = _state.rank_of(
        RANKING_KEY, _state.candidates(state), state.instance_id
    )
    delay = rank * state.settings.voters_step_s
    if voters.version and not voters.next_ids:
        # Waits so that instances that start together join in one change.
        delay += state.settings.voters_step_s
    if now < state.voters_outdated_since + delay:
        return []
    if voters.version == 0:
        return _make_write(state, 1, chosen, (), now)
    gone = state.gone_since.keys()
    if not voters.next_ids or not gone.isdisjoint(voters.next_ids):
        if chosen and set(chosen) != set(voters.next_ids):
            return _make_write(state, voters.version, voters.ids, chosen, now)
    return _advance_proposal(state, voters, now)


def _choose_voters(
    state: _state.OwnershipState, voters: _messages.VotersRead
) -> tuple[str, ...]:
    """Return the voters that are not gone, topped up with other members."""
    kept = [one for one in voters.ids if one not in state.gone_since]
    kept = kept[: state.settings.max_voters]
    others = _state.candidates(state) - set(kept) - state.gone_since.keys()
    free = state.settings.max_voters - len(kept)
    added = _rendezvous.top(RANKING_KEY, others, free)
    return tuple(sorted([*kept, *added]))


def _advance_proposal(
    state: _state.OwnershipState,
    voters: _messages.VotersRead,
    now: float,
) -> list[object]:
    outputs: list[object] = []
    if now >= state.next_proposal_at:
        state.next_proposal_at = now + state.settings.request_retry_s
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
                    record_ack(state, ack)
            elif voter in state.peers:
                outputs.append(_messages.Send(to=voter, message=proposal))
    count = sum(
        voter in state.acks or _state.counts_as_gone(state, voter, now)
        for voter in voters.ids
    )
    if count >= _state.majority(len(voters.ids)):
        outputs.extend(
            _make_write(state, voters.version + 1, voters.next_ids, (), now)
        )
    return outputs


def _make_write(
    state: _state.OwnershipState,
    version: int,
    ids: tuple[str, ...],
    next_ids: tuple[str, ...],
    now: float,
) -> list[object]:
    if now < state.next_voters_write_at or not ids:
        return []
    # The driver reads the key after the write. Until that read succeeds, the
    # write is repeated at this interval.
    state.next_voters_write_at = now + state.settings.promise_s / 3
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
