"""Promises and consents, on the side of the voter and of the owner."""

from chestnuttide.coordination import _lease
from chestnuttide.coordination import _messages
from chestnuttide.coordination import _state


def may_vote(state: _state.OwnershipState, version: int, now: float) -> bool:
    """Return whether this instance may answer as a voter of a version.

    It must not vote for one promise time after its start, because it does not
    know what it promised before the restart. Nor must it vote before it has
    read the voters, because it does not know which versions it has given up.
    """
    voters = state.voters
    return (
        voters is not None
        and version == voters.version
        and version >= state.min_voters_version
        and state.instance_id in voters.ids
        and state.instance_id not in state.gone_since
        and now >= state.started_at + _state.promise_wait_s(state)
    )


def give_promise(
    state: _state.OwnershipState,
    request: _messages.PromiseRequest,
    now: float,
) -> _messages.PromiseReply:
    """Answer a request for promises.

    A shard is refused once this voter has consented to a claim that replaces
    the named record or a later one. For a short time after a pause, all shards
    are refused: a request that waited during the pause no longer helps its
    owner, and a promise would delay the successor for the full promise time.
    An owner that still needs the promise repeats its request.
    """
    promise_s = min(request.promise_s, state.settings.promise_s)
    shards: list[str] = []
    if may_vote(state, request.version, now) and not _has_backlog(state, now):
        for shard, revision in request.shards:
            if revision <= state.consented.get(shard, -1):
                continue
            given = state.given_promises.get(shard)
            if (
                given is not None
                and now < given.until
                and not _same_owner(given, request.owner, request.incarnation)
            ):
                continue
            state.given_promises[shard] = _state.GivenPromise(
                owner=request.owner,
                incarnation=request.incarnation,
                until=now + promise_s,
            )
            shards.append(shard)
    return _messages.PromiseReply(
        request_id=request.request_id,
        incarnation=request.incarnation,
        voter=state.instance_id,
        version=request.version,
        promise_s=promise_s,
        shards=tuple(shards),
    )


def _has_backlog(state: _state.OwnershipState, now: float) -> bool:
    """Return whether messages may have been queued during a pause."""
    paused = now - state.ticked_at > state.settings.pause_s
    return paused or now < state.backlog_until


def give_consent(
    state: _state.OwnershipState,
    request: _messages.ConsentRequest,
    now: float,
) -> _messages.ConsentReply:
    """Answer a request for consent to claims.

    A shard is refused while a promise for it is outstanding, whichever
    revision of the record the promise names, because the owner may not know
    yet that its own last write of the record took effect.
    """
    shards: list[str] = []
    if may_vote(state, request.version, now):
        for shard, revision in request.shards:
            given = state.given_promises.get(shard)
            if given is not None and now < given.until:
                continue
            state.given_promises.pop(shard, None)
            state.consented[shard] = max(
                revision, state.consented.get(shard, -1)
            )
            shards.append(shard)
    return _messages.ConsentReply(
        request_id=request.request_id,
        claimant_incarnation=request.claimant_incarnation,
        voter=state.instance_id,
        version=request.version,
        valid_s=state.settings.promise_s,
        shards=tuple(shards),
    )


def has_outstanding_promise(state: _state.OwnershipState, now: float) -> bool:
    """Return whether any promise of this voter is outstanding."""
    stale = [
        key for key, one in state.given_promises.items() if now >= one.until
    ]
    for key in stale:
        del state.given_promises[key]
    return bool(state.given_promises)


def request_promises(
    state: _state.OwnershipState, now: float
) -> list[_messages.Send]:
    """Request promises from the voters while the store is failing.

    Only shards that are covered now are named, because promises can extend
    ownership but not restore it.
    """
    voters = state.voters
    if voters is None or not _state.store_failing(state, now):
        return []
    shards = {
        shard: held.revision
        for shard, held in state.held.items()
        if not held.releasing and _state.covered(state, held, now)
    }
    if not shards:
        return []
    sends: list[_messages.Send] = []
    for voter in voters.ids:
        if now < state.next_promise_request_at.get(voter, now):
            continue
        if voter != state.instance_id and voter not in state.peers:
            continue
        state.next_promise_request_at[voter] = (
            now + state.settings.request_retry_s
        )
        number = _state.next_number(state)
        state.pending_requests[number] = _state.PendingRequest(
            sent_at=now, version=voters.version, shards=shards
        )
        request = _messages.PromiseRequest(
            request_id=number,
            owner=state.instance_id,
            incarnation=state.incarnation,
            version=voters.version,
            promise_s=state.settings.promise_s,
            shards=tuple(sorted(shards.items())),
        )
        if voter == state.instance_id:
            record_promise(state, give_promise(state, request, now), now)
        else:
            sends.append(_messages.Send(to=voter, message=request))
    return sends


def record_promise(
    state: _state.OwnershipState,
    reply: _messages.PromiseReply,
    now: float,
) -> None:
    """Record a voter's promise and extend ownership if a majority promised."""
    pending = state.pending_requests.get(reply.request_id)
    voters = state.voters
    if (
        pending is None
        or voters is None
        or reply.incarnation != state.incarnation
        or reply.version != pending.version
        or reply.version != voters.version
        or reply.voter not in voters.ids
    ):
        return
    until = _lease.usable_until(pending.sent_at, reply.promise_s)
    if reply.shards:
        half = (until - pending.sent_at) / 2
        state.next_promise_request_at[reply.voter] = pending.sent_at + half
    needed = _state.majority(len(voters.ids))
    for shard in reply.shards:
        held = state.held.get(shard)
        if held is None or shard not in pending.shards:
            continue
        held.promises[reply.voter] = max(
            until, held.promises.get(reply.voter, until)
        )
        ends = sorted(held.promises.values(), reverse=True)
        # A promise that arrives after ownership was uncovered must not restore
        # it: a claimant may have received its consents in the meantime.
        if len(ends) >= needed and _state.covered(state, held, now):
            held.promised_until = max(held.promised_until, ends[needed - 1])


def drop_stale_requests(state: _state.OwnershipState, now: float) -> None:
    """Drop requests whose replies would arrive too late to be used."""
    oldest = now - state.settings.promise_s
    stale = [
        key
        for key, one in state.pending_requests.items()
        if one.sent_at < oldest
    ]
    for key in stale:
        del state.pending_requests[key]


def _same_owner(
    given: _state.GivenPromise, owner: str, incarnation: str
) -> bool:
    return given.owner == owner and given.incarnation == incarnation
