"""Admission: whether a job could still be of worth to its caller.

When callers compete for too little room, a job that can only end after it is
worth anything helps nobody: its caller could go elsewhere, and its work makes
others late. It is refused before anything is stored. The estimate of its wait
leaves out what is not sure, so that few jobs are refused and none on a calm
day.
"""

import collections.abc
import math
import typing

import attrs

from chestnuttide import model
from chestnuttide.workloads import _objectives
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state
from chestnuttide.workloads import _waiting_work

# Age up to which a summary of the waiting work is used for further jobs.
BACKLOG_AGE_S: typing.Final = 0.2

# Bounds of the correction of waits, its rate, the error of a wait that does
# not matter, and the time after which a correction that nothing confirms has
# half of its effect.
MIN_CORRECTION: typing.Final = 0.5
MAX_CORRECTION: typing.Final = 2.0
CORRECTION_RATE: typing.Final = 0.1
IGNORED_ERROR_S: typing.Final = 0.25
CORRECTION_HALF_LIFE_S: typing.Final = 10.0

# Admitted jobs that are followed, refused ids that are remembered, and ids
# whose first attempt may have been written.
MAX_FOLLOWED: typing.Final = 500
MAX_RETURNS: typing.Final = 1000
MAX_DOUBTFUL: typing.Final = 1000

# A refused caller is expected this long before and after its time of return.
RETURN_EARLY_S: typing.Final = 1.0
RETURN_LATE_S: typing.Final = 1.5

# Time for which an id may still belong to a write that was not answered.
DOUBT_S: typing.Final = 30.0

# Bounds of the time after which a refused caller is asked to come back.
MIN_RETRY_S: typing.Final = 1.0
MAX_RETRY_S: typing.Final = 30.0


@attrs.frozen(kw_only=True, slots=True)
class Return:
    """A refused caller that was asked to come back.

    Attributes
    ----------
    at : float
        Monotonic time at which it may come back.
    work : Waiting
        Room that is kept for it.
    """

    at: float
    work: _waiting_work.Waiting


@attrs.define(kw_only=True, slots=True)
class AdmissionState:
    """What an owner remembers between admissions; lost without harm.

    Attributes
    ----------
    backlog : tuple of Waiting
        _waiting_work.Waiting work.
    backlog_at : float
        Monotonic time of `backlog`.
    correction : float
        Factor of expected waits, from what came of admitted jobs.
    corrected_at : float or None
        Monotonic time of the last correction; None before the first.
    followed : dict of str to (float, float)
        Expected wait, and time of admission, of admitted jobs.
    returns : dict of str to Return
        Refused callers that may come back, by job id.
    next_return_at : float
        Monotonic time from which room is left for further returns.
    doubtful : dict of str to float
        Ids that may have been written, and until when that is remembered.
    admitted, refused, returned, served_again : int
        Jobs admitted and refused, refused callers that came back in time, and
        those of them that were admitted.
    refusing_since : float
        Monotonic time since which jobs are refused; 0 while all are admitted.
    refused_at : float
        Monotonic time of the last refusal.
    """

    backlog: tuple[_waiting_work.Waiting, ...] = ()
    backlog_at: float = -math.inf
    correction: float = 1.0
    corrected_at: float | None = None
    followed: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    returns: dict[str, Return] = attrs.field(factory=dict)
    next_return_at: float = 0.0
    doubtful: dict[str, float] = attrs.field(factory=dict)
    admitted: int = 0
    refused: int = 0
    returned: int = 0
    served_again: int = 0
    refusing_since: float = 0.0
    refused_at: float = -math.inf


@attrs.frozen(kw_only=True, slots=True)
class Verdict:
    """The decision about a job, and what it follows from.

    Attributes
    ----------
    admitted : bool
        Whether the job is to be stored.
    reason : str
        Why: ``room``, ``known``, ``any_time``, ``no_worker`` or
        ``no_room_in_time``.
    wait_s, chain_s, worth_s : float
        Expected wait for room and advice, expected length of the job, and the
        time after which its end is of no worth, in seconds.
    retry_after_s : int
        Delay after which there will be room; 0 for an admitted job.
    """

    admitted: bool
    reason: str
    wait_s: float = 0.0
    chain_s: float = 0.0
    worth_s: float = math.inf
    retry_after_s: int = 0


def decide(
    pool: _state.Pool,
    state: AdmissionState,
    spec: _specs.JobSpec,
    *,
    now: float,
    advisors: int = 1,
    share: float = 1.0,
    competes: collections.abc.Callable[[_state.Job], bool] | None = None,
) -> Verdict:
    """Decide whether a job is admitted, and remember the decision.

    Parameters
    ----------
    pool : Pool
        The pool that would run the job.
    state : AdmissionState
        What is remembered between decisions.
    spec : JobSpec
        The job.
    now : float
        Monotonic time.
    advisors : int
        Number of instances that query the advisor, one call each at a time.
    share : float
        Share of the service that the job's workspace may use while all want
        more; 1 without workspaces.
    competes : function or None
        Whether a waiting job takes room of this share; None for all. The
        function must be the same for all jobs of `BACKLOG_AGE_S`.
    """
    if spec.id in pool.jobs or state.doubtful.get(spec.id, 0.0) > now:
        return Verdict(admitted=True, reason="known")
    if spec.occurrences or any(step.lasting for step in spec.steps):
        return Verdict(admitted=True, reason="any_time")
    room = _waiting_work.find_room(pool, spec, now)
    if room is None:
        return Verdict(admitted=True, reason="no_worker")
    _refresh(pool, state, now, competes)
    due_s = _objectives.objective_s(pool, spec)
    work = _waiting_work.make_work(pool, spec, due=now + due_s)
    back = state.returns.pop(spec.id, None)
    in_time = back is not None and now >= back.at - RETURN_EARLY_S
    wait_s = _expected_wait_s(
        state,
        work,
        room,
        advisors=advisors,
        share=share,
        keep_returns=not in_time,
    )
    chain_s = _objectives.chain_s(pool, spec)
    worth_s = _objectives.WORTH_FACTOR * due_s
    lacking_s = wait_s + chain_s - worth_s
    state.returned += in_time
    if lacking_s <= 0:
        state.admitted += 1
        state.served_again += in_time
        _follow(state, spec.id, wait_s, now)
        return Verdict(
            admitted=True,
            reason="room",
            wait_s=wait_s,
            chain_s=chain_s,
            worth_s=worth_s,
        )
    state.refused += 1
    state.refused_at = now
    state.refusing_since = state.refusing_since or now
    return Verdict(
        admitted=False,
        reason="no_room_in_time",
        wait_s=wait_s,
        chain_s=chain_s,
        worth_s=worth_s,
        retry_after_s=_plan_return(
            state, spec.id, work, room, lacking_s, now, share
        ),
    )


def observe(pool: _state.Pool, state: AdmissionState, now: float) -> None:
    """Correct expected waits by what came of the admitted jobs.

    A wait that is longer than expected counts from then on, not only when it
    ends. A correction fades unless jobs confirm it, so that none stays that
    has kept all jobs out.
    """
    if state.corrected_at is not None:
        elapsed_s = max(0.0, now - state.corrected_at)
        state.correction **= 0.5 ** (elapsed_s / CORRECTION_HALF_LIFE_S)
    state.corrected_at = now
    for job_id, (expected_s, admitted_at) in list(state.followed.items()):
        job = pool.active.get(job_id)
        waited_s = now - admitted_at
        started = job is not None and job.started
        if job is None or not (
            started or waited_s > 2 * expected_s + 4 * IGNORED_ERROR_S
        ):
            if job is None and waited_s > IGNORED_ERROR_S:
                del state.followed[job_id]
            continue
        del state.followed[job_id]
        error = math.log(
            (waited_s + IGNORED_ERROR_S) / (expected_s + IGNORED_ERROR_S)
        )
        error -= math.log(state.correction)
        step = CORRECTION_RATE * min(1.0, max(-1.0, error))
        state.correction = min(
            MAX_CORRECTION,
            max(MIN_CORRECTION, state.correction * math.exp(step)),
        )
    for ids, is_over in (
        (state.returns, lambda each: each.at + RETURN_LATE_S < now),
        (state.doubtful, lambda until: until < now),
    ):
        for job_id in [key for key, each in ids.items() if is_over(each)]:
            del ids[job_id]


def remember_doubtful(state: AdmissionState, job_id: str, now: float) -> None:
    """Remember an id that was announced and may still be written."""
    if len(state.doubtful) >= MAX_DOUBTFUL:
        del state.doubtful[next(iter(state.doubtful))]
    state.doubtful[job_id] = now + DOUBT_S


def list_row(
    pool: _state.Pool, state: AdmissionState, now: float
) -> dict[str, object]:
    """Return what is decided and from what, for the operators' page."""
    return {
        "service": pool.service,
        "on": pool.policy.admission,
        "refusing_s": round(now - state.refusing_since, 1)
        if state.refusing_since
        else 0.0,
        "admitted": state.admitted,
        "refused": state.refused,
        "returned_in_time": state.returned,
        "returned_and_admitted": state.served_again,
        "callers_to_return": len(state.returns),
        "correction": round(state.correction, 3),
        "waiting_steps": len(state.backlog),
        "backlog_age_s": round(min(now - state.backlog_at, 1e6), 3),
    }


def _refresh(
    pool: _state.Pool,
    state: AdmissionState,
    now: float,
    competes: collections.abc.Callable[[_state.Job], bool] | None,
) -> None:
    if now - state.backlog_at <= BACKLOG_AGE_S:
        return
    state.backlog = _waiting_work.list_waiting(pool, competes, now=now)
    state.backlog_at = now


def _expected_wait_s(
    state: AdmissionState,
    work: _waiting_work.Waiting,
    room: model.Resources,
    *,
    advisors: int,
    share: float,
    keep_returns: bool,
) -> float:
    """Return the expected wait of a new job for room and advice, in seconds.

    Only waiting work that goes before it counts: what runs already ends
    meanwhile. Other labels may run elsewhere, so they count only for a job
    that may run there, too.
    """
    entries: list[_waiting_work.Waiting] = [*state.backlog]
    if keep_returns:
        entries += [each.work for each in state.returns.values()]
    cpu_s = memory_s = accelerator_s = advice_s = 0.0
    for entry in entries:
        if entry.priority > work.priority:
            continue
        if entry.priority == work.priority and (
            entry.late or entry.due > work.due
        ):
            continue
        advice_s += entry.advice_s
        if work.label and entry.label != work.label:
            continue
        cpu_s += entry.cpu_s
        memory_s += entry.memory_s
        accelerator_s += entry.accelerator_s
    rooms = [(cpu_s, room.cpu_millis), (memory_s, room.memory_mb)]
    if work.accelerator_s:
        rooms.append((accelerator_s, room.accelerators))
    room_s = max(used / max(1, have) for used, have in rooms) / share
    return state.correction * max(room_s, advice_s / max(1, advisors))


def _follow(
    state: AdmissionState, job_id: str, wait_s: float, now: float
) -> None:
    if len(state.followed) < MAX_FOLLOWED:
        # The correction is what is learned, so it is not part of the error.
        state.followed[job_id] = (wait_s / state.correction, now)


def _plan_return(
    state: AdmissionState,
    job_id: str,
    work: _waiting_work.Waiting,
    room: model.Resources,
    lacking_s: float,
    now: float,
    share: float,
) -> int:
    """Return when a refused caller may come back, and keep room for it.

    Callers are spread over the time in which room appears: each one's work
    moves the next one's time. Whole seconds are asked for, so a fraction is
    rounded up for as many callers as it says, chosen by their ids.
    """
    at = max(now + max(MIN_RETRY_S, lacking_s), state.next_return_at)
    if at - now > MAX_RETRY_S:
        return int(MAX_RETRY_S)
    work_s = work.cpu_s / max(1, room.cpu_millis) / share
    state.next_return_at = at + work_s
    delay_s = at - now
    whole_s = math.floor(delay_s)
    draw = int(job_id[-4:], 16) / 0x10000
    retry_s = max(1, whole_s + (draw < delay_s - whole_s))
    if len(state.returns) < MAX_RETURNS:
        state.returns[job_id] = Return(at=now + retry_s, work=work)
    return retry_s
