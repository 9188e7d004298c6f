"""Shard records: tracking, claiming, confirming and releasing them."""

from chestnuttide.coordination import _lease
from chestnuttide.coordination import _messages
from chestnuttide.coordination import _promises
from chestnuttide.coordination import _rendezvous
from chestnuttide.coordination import _state


def update_record(
    state: _state.OwnershipState,
    shard: str,
    record: _messages.ShardRecord,
    revision: int,
    now: float,
) -> list[object]:
    """Store a shard's record if it is newer than the known one."""
    known = state.records.get(shard)
    if known is not None and revision <= known.revision:
        return []
    previous = None
    if known is not None:
        same = known.record.epoch == record.epoch
        previous = known.previous if same else known.record
    state.records[shard] = _state.KnownRecord(
        record=record, revision=revision, seen_at=now, previous=previous
    )
    held = state.held.get(shard)
    if held is None:
        return []
    if _is_own(state, record) and record.epoch == held.epoch:
        if record.state == _messages.HELD:
            held.revision = revision
            held.session = record.session
            return []
        reason = _messages.LOST_RELEASED
    else:
        reason = _messages.LOST_DEPOSED
    del state.held[shard]
    return [_messages.ShardLost(shard=shard, epoch=held.epoch, reason=reason)]


def handle_write_result(
    state: _state.OwnershipState, result: _messages.ClaimResult, now: float
) -> list[object]:
    """Record the result of a write of a shard's record."""
    if state.writing.get(result.shard) == result.write_id:
        del state.writing[result.shard]
        if not result.ok:
            retry = state.settings.write_retry_s
            state.next_write_at[result.shard] = now + retry
    if result.record is None:
        return []
    return update_record(
        state, result.shard, result.record, result.revision, now
    )


def advance(state: _state.OwnershipState, now: float) -> list[object]:
    """Return the writes, requests and ownership changes that are due."""
    outputs: list[object] = []
    outputs.extend(_advance_releases(state, now))
    outputs.extend(_advance_confirmations(state, now))
    outputs.extend(_advance_claims(state, now))
    outputs.extend(_advance_moves(state, now))
    return outputs


def record_consent(
    state: _state.OwnershipState,
    reply: _messages.ConsentReply,
    now: float,
) -> None:
    """Record a voter's consent to claims of this instance."""
    pending = state.pending_requests.get(reply.request_id)
    voters = state.voters
    if (
        pending is None
        or voters is None
        or reply.claimant_incarnation != state.incarnation
        or reply.version != pending.version
        or reply.version != voters.version
        or reply.voter not in voters.ids
    ):
        return
    until = _lease.usable_until(pending.sent_at, reply.valid_s)
    for shard in reply.shards:
        claim = state.claims.get(shard)
        if claim is not None and claim.revision == pending.shards.get(shard):
            claim.consents[reply.voter] = max(
                until, claim.consents.get(reply.voter, until)
            )


def owner_gone(
    state: _state.OwnershipState, known: _state.KnownRecord, now: float
) -> bool:
    """Return whether the owner named in a record has lost its member key.

    The members must have been read after the record, because the owner may
    have rejoined and confirmed its record between the two reads.
    """
    if state.members is None or state.members_sent_at < known.seen_at:
        return False
    record = known.record
    if record.owner == state.instance_id:
        return record.incarnation != state.incarnation
    member = state.members.get(record.owner)
    return member is None or member.incarnation != record.incarnation


def _is_own(
    state: _state.OwnershipState, record: _messages.ShardRecord
) -> bool:
    return (
        record.owner == state.instance_id
        and record.incarnation == state.incarnation
    )


def _make_write(
    state: _state.OwnershipState,
    shard: str,
    expected_revision: int,
    record: _messages.ShardRecord,
) -> _messages.WriteShardRecord:
    write_id = _state.next_write_id(state)
    state.writing[shard] = write_id
    return _messages.WriteShardRecord(
        shard=shard,
        expected_revision=expected_revision,
        record=record,
        write_id=write_id,
    )


def _may_write_key(
    state: _state.OwnershipState, shard: str, now: float
) -> bool:
    return shard not in state.writing and now >= state.next_write_at.get(
        shard, now
    )


def _advance_releases(
    state: _state.OwnershipState, now: float
) -> list[object]:
    outputs: list[object] = []
    if not state.store_reachable:
        return outputs
    for shard, held in state.held.items():
        if not held.releasing or not _may_write_key(state, shard, now):
            continue
        record = _messages.ShardRecord(
            owner=state.instance_id,
            incarnation=state.incarnation,
            session=held.session,
            epoch=held.epoch,
            state=_messages.RELEASED,
            residual=held.residual,
        )
        outputs.append(_make_write(state, shard, held.revision, record))
    return outputs


def _advance_confirmations(
    state: _state.OwnershipState, now: float
) -> list[object]:
    """Acquire the shards whose records name this instance as owner.

    A record that was written under an earlier lease is first rewritten under
    the current one, so that claims based on the expiry of that lease fail.
    """
    outputs: list[object] = []
    lease = state.lease
    if lease is None or not _state.may_write(state, now):
        return outputs
    for shard, known in state.records.items():
        record = known.record
        if record.state != _messages.HELD or not _is_own(state, record):
            continue
        held = state.held.get(shard)
        if held is not None and held.releasing:
            continue
        if record.session != lease.lease_id:
            if _may_write_key(state, shard, now):
                rewritten = _messages.ShardRecord(
                    owner=record.owner,
                    incarnation=record.incarnation,
                    session=lease.lease_id,
                    epoch=record.epoch,
                )
                outputs.append(
                    _make_write(state, shard, known.revision, rewritten)
                )
        elif held is None:
            outputs.append(_acquire(state, shard, known, now))
    return outputs


def _acquire(
    state: _state.OwnershipState,
    shard: str,
    known: _state.KnownRecord,
    now: float,
) -> _messages.ShardAcquired:
    record = known.record
    state.held[shard] = _state.HeldShard(
        epoch=record.epoch,
        revision=known.revision,
        session=record.session,
        acquired_at=now,
    )
    state.claims.pop(shard, None)
    previous = known.previous
    clean = record.epoch == 1 or (
        previous is not None
        and previous.epoch == record.epoch - 1
        and previous.state == _messages.RELEASED
    )
    return _messages.ShardAcquired(
        shard=shard, epoch=record.epoch, previous=previous, clean=clean
    )


def _advance_claims(state: _state.OwnershipState, now: float) -> list[object]:
    lease = state.lease
    if (
        lease is None
        or state.draining
        or not state.records_read
        or state.members is None
        or not _state.may_write(state, now)
    ):
        state.claims.clear()
        return []
    outputs: list[object] = []
    lacking_consent: dict[tuple[str, str], dict[str, int]] = {}
    for shard in sorted(state.desired):
        known = state.records.get(shard)
        if not _is_claimable(state, known, now):
            state.claims.pop(shard, None)
            continue
        revision = 0 if known is None else known.revision
        claim = state.claims.get(shard)
        if claim is None or claim.revision != revision:
            claim = _state.Claim(revision=revision, since=now)
            state.claims[shard] = claim
        if not _may_write_key(state, shard, now):
            continue
        if now < claim.since + _claim_delay_s(state, shard, known):
            continue
        if known is not None and known.record.state == _messages.HELD:
            if not _has_consent(state, claim, now):
                former_owner = (known.record.owner, known.record.incarnation)
                lacking_consent.setdefault(former_owner, {})[shard] = revision
                continue
        outputs.append(_make_claim(state, shard, known, lease.lease_id))
    outputs.extend(_request_consents(state, lacking_consent, now))
    # The consent of this instance itself may have completed a majority.
    for shards in lacking_consent.values():
        for shard in shards:
            if _has_consent(state, state.claims[shard], now):
                known = state.records[shard]
                outputs.append(
                    _make_claim(state, shard, known, lease.lease_id)
                )
    return outputs


def _make_claim(
    state: _state.OwnershipState,
    shard: str,
    known: _state.KnownRecord | None,
    session: int,
) -> _messages.WriteShardRecord:
    record = _messages.ShardRecord(
        owner=state.instance_id,
        incarnation=state.incarnation,
        session=session,
        epoch=1 if known is None else known.record.epoch + 1,
    )
    return _make_write(
        state, shard, 0 if known is None else known.revision, record
    )


def _is_claimable(
    state: _state.OwnershipState, known: _state.KnownRecord | None, now: float
) -> bool:
    if known is None or known.record.state == _messages.RELEASED:
        return True
    return not _is_own(state, known.record) and owner_gone(state, known, now)


def _claim_delay_s(
    state: _state.OwnershipState, shard: str, known: _state.KnownRecord | None
) -> float:
    ids = _state.candidates(state)
    if known is not None and known.record.state == _messages.RELEASED:
        # The former owner released the shard to another member.
        if known.record.owner != state.instance_id:
            ids.discard(known.record.owner)
    rank = _state.rank_of(shard, ids, state.instance_id)
    return rank * state.settings.claim_step_s


def _has_consent(
    state: _state.OwnershipState, claim: _state.Claim, now: float
) -> bool:
    voters = state.voters
    if voters is None:
        return False
    # All consents must be valid at the same moment; see `_ownership`.
    count = sum(
        now < claim.consents.get(voter, now)
        or _state.counts_as_gone(state, voter, now)
        for voter in voters.ids
    )
    return count >= _state.majority(len(voters.ids))


def _request_consents(
    state: _state.OwnershipState,
    lacking_consent: dict[tuple[str, str], dict[str, int]],
    now: float,
) -> list[object]:
    outputs: list[object] = []
    voters = state.voters
    if voters is None or voters.version == 0:
        return outputs
    for former_owner, shards in lacking_consent.items():
        if now < state.next_consent_request_at.get(former_owner, now):
            continue
        state.next_consent_request_at[former_owner] = (
            now + state.settings.request_retry_s
        )
        number = _state.next_number(state)
        state.pending_requests[number] = _state.PendingRequest(
            sent_at=now, version=voters.version, shards=shards
        )
        request = _messages.ConsentRequest(
            request_id=number,
            claimant=state.instance_id,
            claimant_incarnation=state.incarnation,
            owner=former_owner[0],
            incarnation=former_owner[1],
            version=voters.version,
            shards=tuple(sorted(shards.items())),
        )
        for voter in voters.ids:
            if voter == state.instance_id:
                reply = _promises.give_consent(state, request, now)
                record_consent(state, reply, now)
            elif voter in state.peers:
                outputs.append(_messages.Send(to=voter, message=request))
    return outputs


def _advance_moves(state: _state.OwnershipState, now: float) -> list[object]:
    outputs: list[object] = []
    if state.members is None or not state.store_reachable:
        return outputs
    settings = state.settings
    others = _state.candidates(state)
    retry_before = now - settings.move_retry_s
    moving = sum(
        held.releasing or held.release_requested_at > retry_before
        for held in state.held.values()
    )
    for shard, held in state.held.items():
        if moving >= settings.max_moves:
            break
        if held.releasing or held.release_requested_at > retry_before:
            continue
        to = _rendezvous.preferred(shard, others)
        unwanted = shard not in state.desired
        if not state.draining and not unwanted:
            if to == state.instance_id or to not in state.peers:
                continue
            if now < held.acquired_at + settings.min_hold_s:
                continue
        held.release_requested_at = now
        moving += 1
        name = "" if unwanted or to is None else to
        outputs.append(_messages.ShouldRelease(shard=shard, to=name))
    return outputs
