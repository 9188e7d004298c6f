"""Shard ownership by store leases, and by promises during a store outage.

Why two instances never act for the same shard at once
------------------------------------------------------
Let owner O hold the record of revision R, written under lease (session) L.
O may act only while it is *covered*: its clock shows that L is valid, or an
unbroken chain of promise majorities spans the time from a moment at which L
was valid until now. A claimant Q replaces an unreleased record only by a CAS
that expects R. Q sends it at a moment t at which both of these hold:

1. Q has read R, has then read the members, and found no member key of O's
   incarnation.
2. A majority of the voters consents. Q requested each consent after step 1
   and relies on it for one promise time, less the margin, from the sending
   of the request.

*O is not covered at t.* The member key exists only as long as the lease, and
O's clock expires the lease before the store does, so L had expired at step 1.
A new lease of O does not cover it until O has rewritten the record under that
lease, which makes Q's CAS fail. As for the promises: a voter consents only if
it has no outstanding promise for the shard, and after its consent it refuses
promises for records up to R. A voter that restarts and loses this state does
not vote for one promise time, which is longer than Q relies on its consent.
So at t no consenting voter has an outstanding promise, and every majority
contains a consenting voter.

*O is not covered after t either.* A promise extends a chain only if O is
covered when the promise arrives. A broken chain is started anew only after a
CAS of O's own, which either has made Q's CAS fail or fails itself. A long
delay of Q's CAS, or a pause of O or Q between any two steps, is therefore
harmless.

A promise request that is in flight while a consent is given reaches the voter
either before the consent, and the promise then prevents it, or after it, and
is refused because it names a record that is not above R. The record in a
request may be older than the one in the store if O does not know yet that its
own write took effect. Therefore a promise prevents consents for every
revision, while a consent prevents promises for revisions up to its own.

A voter that the platform lists as gone counts as consenting after one promise
time, by which its last promise has ended. The list must not name an instance
that is still running, and the id of a gone instance must not be reused.

*Change of voters.* The proposal for version v + 1 is first written to the
voters key itself. A voter acknowledges it only without an outstanding promise
and then refuses versions below v + 1. If the voter restarts, it cannot vote
before it has read the key; there it finds the proposal or its successor and
is bound again. Once a majority of version v has acknowledged, no majority of
promises under v exists, and the key may be set to version v + 1. A consent
that such a voter gave earlier under v is safe: Q requested it after L had
expired, so O's chain would have needed promises under v at the time of the
acknowledgement, and is broken.

Contract with the driver
------------------------
* `LeaseRenewed` is reported only if the key ``members/<instance>`` is attached
  to that lease. The key is created by a CAS that expects it to be absent, so a
  restarted instance waits until its predecessor's lease has expired. The lease
  is revoked only once no shard is owned.
* Times in messages are read before the call is sent. `MembersRead` comes from
  a read that was sent at `sent_at` or later.
* Every `WriteShardRecord` is answered by one `ClaimResult`. If the answer of
  the store is lost, the driver reads the key back. A write that is reported as
  failed may still take effect later.
* A draining instance rewrites its member key with ``leaving`` set.
* `may_act` is called immediately before each dispatch, with the current time.
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
        String that is unique to this run of the instance.
    now : float
        Monotonic time, in seconds; not before the start of the instance.
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
        Accepts the input messages of `_messages` and returns `Send`,
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
        _promises.drop_stale_requests(state, now)
        outputs.extend(_promises.request_promises(state, now))
        outputs.extend(_claims.advance(state, now))
        outputs.extend(_voters.advance(state, now))
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
            _claims.update_record(
                state, one.shard, one.record, one.revision, now
            )
        )
    return outputs


def _on_members(
    state: _state.OwnershipState,
    message: _messages.MembersRead,
    now: float,
) -> list[object]:
    if message.sent_at >= state.members_sent_at:
        state.members = {one.instance_id: one for one in message.members}
        state.members_sent_at = message.sent_at
    return []


def _on_voters(
    state: _state.OwnershipState, message: _messages.VotersRead, now: float
) -> list[object]:
    _voters.update_voters(state, message)
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
    _promises.record_promise(state, message, now)
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
    _claims.record_consent(state, message, now)
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
    _voters.record_ack(state, message)
    return []


def _on_result(
    state: _state.OwnershipState,
    message: _messages.ClaimResult,
    now: float,
) -> list[object]:
    return _claims.handle_write_result(state, message, now)


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

# Requests to this instance as a voter do not affect its own shards, so they
# are answered without checking the shards for due work.
_VOTER_REQUESTS = frozenset(
    {
        _messages.ConsentRequest,
        _messages.PromiseRequest,
        _messages.VotersProposal,
    }
)
