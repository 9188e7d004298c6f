"""Ownership of shards by leases, and by promises while the store fails.

Why two instances never both may act for a shard
------------------------------------------------
Let owner O hold the record of revision R, written under lease (session) L.
O may act only while it is *covered*: its clock says that L is valid, or an
uninterrupted chain of promise majorities reaches from a moment at which L was
valid to now. A claimant Q replaces the unreleased record only by a CAS that
expects R, sent at a moment t at which, at once,

1. Q has read R, has then read the members and found O's incarnation missing;
2. a majority of the voters consents: each consent was asked for after 1., and
   Q counts it for one promise time less margin from the sending.

*At t, O is not covered.* The member key lives and dies with the lease, and
O's clock gives the lease up before the store does, so L was over at 1. A new
lease of O does not cover it before O has written the record again under that
lease, which makes Q's CAS fail. For the promises: a voter consents only
without an outstanding promise for the shard, and after its consent refuses
promises for records up to R; if it restarts and forgets this, it is quiet for
one promise time, which outlasts the consent's count at Q. So at t no
consenting voter has a promise outstanding, and each majority contains a
consenting voter.

*After t, O is not covered either.* A promise extends a chain only if O is
covered when it arrives; once broken, a chain is only begun again after a CAS
of O's own, which has made Q's CAS fail or fails itself. It therefore does no
harm if Q's CAS is delayed for long, or if O or Q pauses between any two
steps.

A promise request in flight while a consent is given meets the voter before
it (then the promise bars the consent) or after it (then it is refused,
because it names a record not above R). The record in a request may be older
than the one in the store, when O does not know yet that its own write took
effect. Therefore a promise bars consents for every revision, while a consent
bars promises for revisions up to its own.

A voter that the platform lists as gone counts as consenting after one promise
time, in which its last promise ends. The list must not call an instance gone
that runs, and ids of gone instances must not be used again.

*Change of voters.* The proposal for version v + 1 is first written to the
voters key itself. A voter that acknowledges has no promise outstanding and
then refuses versions below v + 1. If it restarts, it cannot vote before it
has read the key, where it finds the proposal, or its successor, and is bound
again. Once a majority of version v has acknowledged, no majority of promises
under v exists any more, and the key may name version v + 1. A consent under v
that such a voter gave before is no danger: Q asked for it after L was over,
so O's chain had to pass through promises under v at the acknowledgement, and
is broken.

Contract with the driver
------------------------
* `LeaseRenewed` is reported only if the key ``members/<instance>`` is attached
  to that lease; the key is created by CAS on absence, so that a restarted
  instance waits for the end of its predecessor's lease. The lease is revoked
  only once no shard is held.
* Times in messages are taken before a call is sent. `MembersRead` comes from
  a read that was sent at `sent_at` or later.
* Every `WriteShardRecord` is answered by one `ClaimResult`; a lost answer is
  resolved by reading the key back. A write that is reported as failed may
  still take effect later.
* An instance that drains rewrites its member key with ``leaving`` set.
* `may_act` is called immediately before each dispatch, with a fresh time.
"""

import collections.abc

from chestnuttide.coordination import _claims
from chestnuttide.coordination import _lease
from chestnuttide.coordination import _messages
from chestnuttide.coordination import _promises
from chestnuttide.coordination import _state
from chestnuttide.coordination import _voters
from chestnuttide import pipes


def make_ownership_state(
    *,
    instance_id: str,
    incarnation: str,
    now: float,
    settings: _state.OwnershipSettings | None = None,
) -> _state.OwnershipState:
    """Return the state of an instance that has just started.

    Parameters
    ----------
    instance_id : str
        Id of this instance.
    incarnation : str
        String that no other start of this instance uses.
    now : float
        Monotonic time, in seconds, of the start or later.
    settings : OwnershipSettings, optional
        Times and limits.
    """
    return _state.OwnershipState(
        instance_id=instance_id,
        incarnation=incarnation,
        started_at=now,
        settings=settings or _state.OwnershipSettings(),
    )


def make_ownership_filter(*, state: _state.OwnershipState) -> pipes.Filter:
    """Return the filter that decides which shards this instance owns.

    Parameters
    ----------
    state : OwnershipState
        State of this instance; the filter changes it.

    Returns
    -------
    Filter
        Takes the input messages of `_messages` and returns `Send`,
        `WriteShardRecord`, `WriteVoters`, `ShardAcquired`, `ShardLost` and
        `ShouldRelease`. Raises `TypeError` for an unknown message.
    """

    def run(message: object, now: float) -> list[object]:
        handle = _HANDLERS.get(type(message))
        if handle is None:
            raise TypeError(f"unknown message {type(message).__name__}")
        outputs = list(handle(state, message, now))
        if type(message) in _VOTER_REQUESTS:
            return outputs
        _promises.forget_requests(state, now)
        outputs.extend(_promises.ask_promises(state, now))
        outputs.extend(_claims.step(state, now))
        outputs.extend(_voters.step(state, now))
        return outputs

    return run


def _on_tick(
    state: _state.OwnershipState, message: _messages.Tick, now: float
) -> list[object]:
    if now - state.ticked_at > state.settings.pause_s:
        state.backlog_until = now + state.settings.backlog_s
    state.ticked_at = now
    return []


def _on_lease_renewed(
    state: _state.OwnershipState,
    message: _messages.LeaseRenewed,
    now: float,
) -> list[object]:
    state.store_reachable = True
    state.lease = _lease.renew(
        state.lease, message.lease_id, message.sent_at, message.ttl_s
    )
    return []


def _on_lease_lost(
    state: _state.OwnershipState, message: _messages.LeaseLost, now: float
) -> list[object]:
    state.store_reachable = True
    state.lease = None
    return []


def _on_store_reachable(
    state: _state.OwnershipState,
    message: _messages.StoreReachable,
    now: float,
) -> list[object]:
    state.store_reachable = message.reachable
    return []


def _on_records(
    state: _state.OwnershipState,
    message: _messages.ShardRecordsRead,
    now: float,
) -> list[object]:
    state.records_read = True
    outputs: list[object] = []
    for one in message.records:
        outputs.extend(
            _claims.learn(state, one.shard, one.record, one.revision, now)
        )
    return outputs


def _on_members(
    state: _state.OwnershipState,
    message: _messages.MembersRead,
    now: float,
) -> list[object]:
    if message.sent_at >= state.members_at:
        state.members = {one.instance_id: one for one in message.members}
        state.members_at = message.sent_at
    return []


def _on_voters(
    state: _state.OwnershipState, message: _messages.VotersRead, now: float
) -> list[object]:
    _voters.learn(state, message)
    return []


def _on_desired(
    state: _state.OwnershipState,
    message: _messages.DesiredShards,
    now: float,
) -> list[object]:
    state.desired = message.shards
    return []


def _on_gone(
    state: _state.OwnershipState,
    message: _messages.InstancesGone,
    now: float,
) -> list[object]:
    known = state.gone_since
    state.gone_since = {one: known.get(one, now) for one in message.ids}
    return []


def _on_peers(
    state: _state.OwnershipState,
    message: _messages.PeersConnected,
    now: float,
) -> list[object]:
    state.peers = message.ids - {state.instance_id}
    return []


def _on_promise_request(
    state: _state.OwnershipState,
    message: _messages.PromiseRequest,
    now: float,
) -> list[object]:
    reply = _promises.give_promise(state, message, now)
    return [_messages.Send(to=message.owner, message=reply)]


def _on_promise_reply(
    state: _state.OwnershipState,
    message: _messages.PromiseReply,
    now: float,
) -> list[object]:
    _promises.take_promise(state, message, now)
    return []


def _on_consent_request(
    state: _state.OwnershipState,
    message: _messages.ConsentRequest,
    now: float,
) -> list[object]:
    reply = _promises.give_consent(state, message, now)
    return [_messages.Send(to=message.claimant, message=reply)]


def _on_consent_reply(
    state: _state.OwnershipState,
    message: _messages.ConsentReply,
    now: float,
) -> list[object]:
    _claims.take_consent(state, message, now)
    return []


def _on_proposal(
    state: _state.OwnershipState,
    message: _messages.VotersProposal,
    now: float,
) -> list[object]:
    ack = _voters.acknowledge(state, message, now)
    if ack is None:
        return []
    return [_messages.Send(to=message.proposer, message=ack)]


def _on_ack(
    state: _state.OwnershipState, message: _messages.VotersAck, now: float
) -> list[object]:
    _voters.take_ack(state, message)
    return []


def _on_result(
    state: _state.OwnershipState,
    message: _messages.ClaimResult,
    now: float,
) -> list[object]:
    return _claims.take_result(state, message, now)


def _on_release(
    state: _state.OwnershipState,
    message: _messages.ReleaseRequested,
    now: float,
) -> list[object]:
    held = state.held.get(message.shard)
    if held is not None:
        held.releasing = True
        held.residual = message.residual
    return []


def _on_drain(
    state: _state.OwnershipState, message: _messages.Drain, now: float
) -> list[object]:
    state.draining = True
    return []


_HANDLERS: dict[
    type, collections.abc.Callable[..., collections.abc.Sequence[object]]
] = {
    _messages.ClaimResult: _on_result,
    _messages.ConsentReply: _on_consent_reply,
    _messages.ConsentRequest: _on_consent_request,
    _messages.DesiredShards: _on_desired,
    _messages.Drain: _on_drain,
    _messages.InstancesGone: _on_gone,
    _messages.LeaseLost: _on_lease_lost,
    _messages.LeaseRenewed: _on_lease_renewed,
    _messages.MembersRead: _on_members,
    _messages.PeersConnected: _on_peers,
    _messages.PromiseReply: _on_promise_reply,
    _messages.PromiseRequest: _on_promise_request,
    _messages.ReleaseRequested: _on_release,
    _messages.ShardRecordsRead: _on_records,
    _messages.StoreReachable: _on_store_reachable,
    _messages.Tick: _on_tick,
    _messages.VotersAck: _on_ack,
    _messages.VotersProposal: _on_proposal,
    _messages.VotersRead: _on_voters,
}

# Requests to this instance as a voter change nothing else, so that a voter
# answers them without going through its own shards.
_VOTER_REQUESTS = frozenset(
    {
        _messages.ConsentRequest,
        _messages.PromiseRequest,
        _messages.VotersProposal,
    }
)
