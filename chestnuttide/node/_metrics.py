"""Counters and histograms of an instance's daemon."""

import collections.abc
import typing

import aioprometheus
from aioprometheus import collectors
import attrs

WAIT_BUCKETS_S: typing.Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)


@attrs.frozen(kw_only=True, slots=True)
class NodeMetrics:
    """Metrics of a daemon in one registry.

    Attributes
    ----------
    registry : Registry
        Registry that the metrics page renders.
    answers : Counter
        ``chestnuttide_answers_total{call,status}``.
    refusals : Counter
        ``chestnuttide_refusals_total{reason}``.
    intake : Counter
        ``chestnuttide_intake_total{port,reason}``, requests that were refused
        before they were read and connections that were closed; see
        ``_intake.Reason``.
    retries : Counter
        ``chestnuttide_retries_total{reason}``.
    store_calls : Counter
        ``chestnuttide_store_calls_total{kind,outcome}``.
    run_ends : Counter
        ``chestnuttide_run_ends_total{how}``.
    lost_runs : Counter
        ``chestnuttide_lost_runs_total{suspects}``, runs under which a worker
        crashed or fell silent; ``suspects`` is ``none`` if the run is not
        suspected of having caused it, else ``one`` or ``several``.
    given_up : Counter
        ``chestnuttide_given_up_total{reason}``, tasks that are not tried
        again.
    waiting_tasks : Gauge
        ``chestnuttide_waiting_tasks{queue,reason}``, tasks that are ready to
        start; see ``workloads.WaitReason``.
    takeovers : Counter
        ``chestnuttide_takeovers_total{outcome}``, takeovers of services that
        were ``started``, and those that became ``complete`` or were
        ``abandoned`` because the ownership had ended.
    handovers : Counter
        ``chestnuttide_handovers_total{outcome}``, services that a small
        instance ``released`` for a larger one, and releases that ``failed``.
    put_off : Counter
        ``chestnuttide_put_off_total{reason}``, starts that were put off by
        the ``cap`` of a workspace or the ``window`` of starts in flight, and
        times that a workspace came to be over its ``share`` of all capacity.
    start_window : Gauge
        ``chestnuttide_start_window{service}``, how many starts the owner may
        have in flight; see ``_start_window``.
    cap_writes : Counter
        ``chestnuttide_cap_writes_total{outcome}``, writes of the parts of
        caps that services hold.
    unreadable : Counter
        ``chestnuttide_unreadable_total{kind}``, items of the store that were
        left out because they cannot be read; ``kind`` is ``worker``,
        ``record``, ``cell``, ``caps`` or ``config``.
    set_aside : Counter
        ``chestnuttide_set_aside_total{kind}``, items that were set aside
        because handling them failed, loops of owners that were started again
        (``loop``) and poll replies that could not be applied (``poll``); see
        ``_set_aside.Kind``.
    run_time_samples : Counter
        ``chestnuttide_run_time_samples_total{outcome}``, ended runs that run
        times were learned from (``learned``), or why not.
    run_time_snapshots : Counter
        ``chestnuttide_run_time_snapshots_total{outcome}``, snapshots of run
        times that were stored or read, or were not.
    penalised_workers : Counter
        ``chestnuttide_penalised_workers_total{cause}``, workers that were
        found slow or failing against their like.
    admissions : Counter
        ``chestnuttide_admissions_total{outcome}``, decisions about jobs before
        they are stored: the reason for admitting or refusing one, or
        ``no_answer`` if the owner was not reached and the job passed.
    commands : Counter
        ``chestnuttide_orders_total{kind,outcome}``.
    polls : Counter
        ``chestnuttide_polls_total{outcome}``, polls of workers; see
        ``_polls.Outcome``.
    loop_delay_seconds : Histogram
        ``chestnuttide_loop_delay_seconds``, how late the daemon's loop runs
        what is due.
    start_wait_seconds : Histogram
        ``chestnuttide_start_wait_seconds{queue}``, from a job's arrival at
        its owner to its first confirmed start.
    job_seconds : Histogram
        ``chestnuttide_job_seconds{queue,state}``, from a job's arrival until
        its end is stored.
    plan_seconds : Histogram
        ``chestnuttide_plan_seconds{service}``, planning rounds of an owner.
    dropped_log_lines : Counter
        ``chestnuttide_dropped_log_lines_total``.
    """

    registry: collectors.Registry
    answers: aioprometheus.Counter
    refusals: aioprometheus.Counter
    intake: aioprometheus.Counter
    retries: aioprometheus.Counter
    store_calls: aioprometheus.Counter
    run_ends: aioprometheus.Counter
    lost_runs: aioprometheus.Counter
    given_up: aioprometheus.Counter
    waiting_tasks: aioprometheus.Gauge
    takeovers: aioprometheus.Counter
    handovers: aioprometheus.Counter
    put_off: aioprometheus.Counter
    start_window: aioprometheus.Gauge
    cap_writes: aioprometheus.Counter
    unreadable: aioprometheus.Counter
    set_aside: aioprometheus.Counter
    run_time_samples: aioprometheus.Counter
    run_time_snapshots: aioprometheus.Counter
    penalised_workers: aioprometheus.Counter
    admissions: aioprometheus.Counter
    commands: aioprometheus.Counter
    polls: aioprometheus.Counter
    loop_delay_seconds: aioprometheus.Histogram
    start_wait_seconds: aioprometheus.Histogram
    job_seconds: aioprometheus.Histogram
    plan_seconds: aioprometheus.Histogram
    dropped_log_lines: aioprometheus.Counter


def make_metrics() -> NodeMetrics:
    """Return the metrics of a daemon in a new registry."""
    registry = collectors.Registry()

    def counter(name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            f"chestnuttide_{name}_total", doc, registry=registry
        )

    def histogram(name: str, doc: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            f"chestnuttide_{name}",
            doc,
            registry=registry,
            buckets=WAIT_BUCKETS_S,
        )

    return NodeMetrics(
        registry=registry,
        answers=counter("answers", "Answers to callers."),
        refusals=counter("refusals", "Refused calls, by reason."),
        intake=counter(
            "intake", "Requests not read and connections closed, by reason."
        ),
        retries=counter("retries", "Attempts made again, by reason."),
        store_calls=counter("store_calls", "Calls to the store."),
        run_ends=counter("run_ends", "Ends of runs, by how."),
        lost_runs=counter(
            "lost_runs", "Runs lost with their worker, by suspicion."
        ),
        given_up=counter("given_up", "Tasks not tried again, by reason."),
        waiting_tasks=aioprometheus.Gauge(
            "chestnuttide_waiting_tasks",
            "Tasks that are ready to start, by queue and reason.",
            registry=registry,
        ),
        takeovers=counter("takeovers", "Takeovers, by outcome."),
        handovers=counter(
            "handovers", "Services given to a larger instance, by outcome."
        ),
        put_off=counter("put_off", "Starts put off, by reason."),
        start_window=aioprometheus.Gauge(
            "chestnuttide_start_window",
            "Starts that an owner may have in flight.",
            registry=registry,
        ),
        cap_writes=counter(
            "cap_writes", "Writes of the parts of caps, by outcome."
        ),
        unreadable=counter(
            "unreadable", "Items left out as unreadable, by kind."
        ),
        set_aside=counter(
            "set_aside", "Items set aside after a fault, by kind."
        ),
        run_time_samples=counter(
            "run_time_samples", "Ended runs, by what was learned."
        ),
        run_time_snapshots=counter(
            "run_time_snapshots", "Snapshots of run times, by outcome."
        ),
        penalised_workers=counter(
            "penalised_workers", "Workers found to differ, by cause."
        ),
        admissions=counter("admissions", "Admission of jobs, by outcome."),
        commands=counter("orders", "Orders to workers, by outcome."),
        polls=counter("polls", "Polls of workers, by outcome."),
        loop_delay_seconds=histogram(
            "loop_delay_seconds", "Seconds by which the loop is late."
        ),
        start_wait_seconds=histogram(
            "start_wait_seconds", "Seconds until a job's first start."
        ),
        job_seconds=histogram(
            "job_seconds", "Seconds until a job's end is stored."
        ),
        plan_seconds=histogram("plan_seconds", "Seconds of a planning round."),
        dropped_log_lines=counter(
            "dropped_log_lines", "Log lines over the limit."
        ),
    )


def store_counter(
    metrics: NodeMetrics,
) -> collections.abc.Callable[[str, str], None]:
    """Return a function that counts calls to the store."""

    def count(kind: str, outcome: str) -> None:
        metrics.store_calls.inc({"kind": kind, "outcome": outcome})

    return count


def unreadable_counter(
    metrics: NodeMetrics,
) -> collections.abc.Callable[[str], None]:
    """Return a function that counts items left out, by kind."""

    def count(kind: str) -> None:
        metrics.unreadable.inc({"kind": kind})

    return count


def intake_counter(
    metrics: NodeMetrics, port: str
) -> collections.abc.Callable[[str], None]:
    """Return a function that counts what a port did not serve, by reason."""

    def count(reason: str) -> None:
        metrics.intake.inc({"port": port, "reason": str(reason)})

    return count
