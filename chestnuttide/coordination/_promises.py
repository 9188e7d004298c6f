"""Promises and consents: the voter's part and the owner's part."""

from chestnuttide.coordination import _lease
from chestnuttide.coordination import _messages
from chestnuttide.coordination import _state


def may_vote(state: _state.OwnershipState, version: int, now: float) -> bool:
    """Return whether this instance may answer as a voter of a version.

    It may not for one promise time after its start, because it does not know
    what it promised before, and not before it has read the voters, because it
    does not know which version it gave up.
    """
    voters = state.voters
    return (
        voters is not None
        and version == voters.version
        and version >= state.bound_version
        and state.instance_id in voters.ids
        and state.instance_id not in state.gone_since
        and now >= state.started_at + _state.drift_s(state)
    )


def give_promise(
    state: _state.OwnershipState,
    request: _messages.PromiseRequest,
    now: float,
) -> _messages.PromiseReply:
    """Answer a request for promises.

    A shard is refused once this voter has consented to a claim that replaces
    the named record or a later one. After a pause all are refused for a
    moment: a request that waited during the pause is of no use to its owner
    any more, and a promise would hold up the successor for its whole time. An
    owner that still wants one asks again.
    """
    promise_s = min(request.promise_s, state.settings.promise_s)
    shards: list[str] = []
    if may_vote(state, request.version, now) and not _has_backlog(state, now):
        for shard, revision in request.shards:
            if revision <= state.consented.get(shard, -1):
                continue
            given = state.given.get(shard)
            if (
                given is not None
                and now < given.until
                and not _same_owner(given, request.owner, request.incarnation)
            ):
                continue
            state.given[shard] = _state.Given(
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
    """Return whether messages may have waited during a pause."""
    paused = now - state.ticked_at > state.settings.pause_s
    return paused or now < state.backlog_until


def give_consent(
    state: _state.OwnershipState,
    request: _messages.ConsentRequest,
    now: float,
) -> _messages.ConsentReply:
    """Answer a request for consent to claims.

    A shard is refused while a promise for it is outstanding, whichever
    revision of its record the promise named: the owner may not know yet that
    its own last write of the record took effect.
    """
    shards: list[str] = []
    if may_vote(state, request.version, now):
        for shard, revision in request.shards:
            given = state.given.get(shard)
            if given is not None and now < given.until:
                continue
            state.given.pop(shard, None)
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


def outstanding(state: _state.OwnershipState, now: float) -> bool:
    """Return whether any promise of this voter is outstanding."""
    ended = [key for key, one in state.given.items() if now >= one.until]
    for key in ended:
        del state.given[key]
    return bool(state.given)


def ask_promises(
    state: _state.OwnershipState, now: float
) -> list[_messages.Send]:
    """Ask the voters for promises while access to the store fails.

    Only shards that are covered now are named: promises continue ownership,
    they never restore it.
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
        if now < state.promise_ask_at.get(voter, now):
            continue
        if voter != state.instance_id and voter not in state.peers:
            continue
        state.promise_ask_at[voter] = now + state.settings.request_retry_s
        number = _state.next_number(state)
        state.asked[number] = _state.Asked(
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
            take_promise(state, give_promise(state, request, now), now)
        else:
            sends.append(_messages.Send(to=voter, message=request))
    return sends


def take_promise(
    state: _state.OwnershipState,
    reply: _messages.PromiseReply,
    now: float,
) -> None:
    """Extend the ownership that a majority of the voters has promised."""
    asked = state.asked.get(reply.request_id)
    voters = state.voters
    if (
        asked is None
        or voters is None
        or reply.incarnation != state.incarnation
        or reply.version != asked.version
        or reply.version != voters.version
        or reply.voter not in voters.ids
    ):
        return
    until = _lease.usable_until(asked.sent_at, reply.promise_s)
    if reply.shards:
        half = (until - asked.sent_at) / 2
        state.promise_ask_at[reply.voter] = asked.sent_at + half
    needed = _state.majority(len(voters.ids))
    for shard in reply.shards:
        held = state.held.get(shard)
        if held is None or shard not in asked.shards:
            continue
        held.promises[reply.voter] = max(
            until, held.promises.get(reply.voter, until)
        )
        ends = sorted(held.promises.values(), reverse=True)
        # A promise that arrives after a gap must not close it: a claimant
        # may have got its consents in the gap.
        if len(ends) >= needed and _state.covered(state, held, now):
            held.promised_until = max(held.promised_until, ends[needed - 1])


def forget_requests(state: _state.OwnershipState, now: float) -> None:
    """Drop requests whose answers would be of no use any more."""
    oldest = now - state.settings.promise_s
    ended = [key for key, one in state.asked.items() if one.sent_at < oldest]
    for key in ended:
        del state.asked[key]


def _same_owner(given: _state.Given, owner: str, incarnation: str) -> bool:
    return given.owner == owner and given.incarnation == incarnation
