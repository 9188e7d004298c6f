"""Figures of the scheduling policy, measured by replaying traces."""

import collections
import math
import pathlib
import typing

from bench import _baselines
from bench import _figures
from bench import _replay
from bench import _traces
from chestnuttide import model
from chestnuttide import placement

WORKLOAD_CLASSES = ("proof", "preview", "frames", "solver", "fulfilment")
SHORT_CLASS = "preview"
URGENT_CLASS = "proof"
COMMAND = "python -m bench policies"
# Ratios count waits shorter than a scheduler tick as one tick.
SHORTEST_WAIT_S = 0.05
PACKED_WORKERS = 100
PACKED_SHARE = 0.7
# Submitted processor demand over pool capacity in the saturation case.
OVERLOAD = 2.0

Outcomes = dict[str, _replay.Outcome]


def measure(_directory: pathlib.Path) -> list[_figures.Figure]:
    """Measure the policy figures on all traces."""
    names = [each.name for each in _traces.DEPLOYMENTS]
    traces = {name: _traces.load(name) for name in names}
    outcomes = {name: _replay_all(trace) for name, trace in traces.items()}
    uniform = {
        name: _replay_all(_traces.without_stragglers(trace))
        for name, trace in traces.items()
    }
    peak = tuple(next(iter(traces.values())).header["crest_s"])
    figures = [
        _worst_figure(
            "urgent_start_p99_s_crest",
            {
                name: {
                    policy: _figures.percentile(
                        waits_of(outcome, URGENT_CLASS, peak), 99
                    )
                    for policy, outcome in found.items()
                }
                for name, found in outcomes.items()
            },
            "s",
            target=1.2,
            note="decision logic only: commands, answers and commits take"
            " no time in the replay",
        ),
        _worst_figure(
            "hol_ratio",
            {
                name: {
                    policy: hol_ratio(outcome, uniform[name][policy])
                    for policy, outcome in found.items()
                }
                for name, found in outcomes.items()
            },
            "ratio",
            target=1.5,
            note="stragglers are 60% of the work of their classes, so the"
            " ratio also has the wait for the capacity that they hold; they"
            " cannot be told from short work before they run",
        ),
        _worst_figure(
            "packing_ratio",
            {name: _packing_ratios(trace) for name, trace in traces.items()},
            "ratio",
            target=1.1,
            note=f"{PACKED_WORKERS} equal workers, demand"
            f" {PACKED_SHARE:.0%} of them",
        ),
        _worst_figure(
            "saturation_share",
            {
                name: _saturation_shares(trace)
                for name, trace in traces.items()
            },
            "share",
            lowest=True,
            note="of the binding dimension, by declared sizes",
        ),
    ]
    for name, found in outcomes.items():
        figures += _wait_figures(name, found, "", (0.0, math.inf))
        figures += _wait_figures(name, found, "_crest", peak)
    return figures


def waits_of(
    outcome: _replay.Outcome, workload_class: str, window: tuple[float, float]
) -> list[float]:
    """Return the waits of the tasks of a class that arrive in a window."""
    return [
        wait_s
        for (job_id, _index), wait_s in outcome.waits.items()
        if outcome.arrivals[job_id]["class"] == workload_class
        and window[0] <= outcome.arrivals[job_id]["t"] < window[1]
    ]


def hol_ratio(slow: _replay.Outcome, uniform: _replay.Outcome) -> float:
    """Return the p99 wait of short jobs over that without stragglers."""
    p99_slow, p99_uniform = (
        max(
            SHORTEST_WAIT_S,
            _figures.percentile(
                waits_of(each, SHORT_CLASS, (0.0, math.inf)), 99
            ),
        )
        for each in (slow, uniform)
    )
    return p99_slow / p99_uniform


def lower_bound(needs: list[_baselines.Need], capacity: list[int]) -> int:
    """Return a lower bound on the equal workers required by needs.

    Raises
    ------
    ValueError
        A worker offers none of a dimension that is needed.
    """
    counts = [0]
    for dimension, offered in enumerate(capacity):
        total = sum(need[dimension] for need in needs)
        if total and not offered:
            raise ValueError(
                "workers offer none of a needed resource dimension"
            )
        if total:
            counts.append(math.ceil(total / offered))
    return max(counts)


def _replay_all(trace: _traces.Trace) -> Outcomes:
    outcomes = {"ours": _replay.replay(trace)}
    for policy, choose in _baselines.make_policies().items():
        outcomes[policy] = _baselines.replay(trace, choose)
    return outcomes


def _worst_figure(
    name: str,
    values: dict[str, dict[str, float]],
    unit: str,
    *,
    lowest: bool = False,
    **fields: typing.Any,
) -> _figures.Figure:
    """Return the figure of the worst trace for each policy."""
    by_policy = collections.defaultdict(list)
    for found in values.values():
        for policy, value in found.items():
            by_policy[policy].append(value)
    worst = {
        policy: (min if lowest else max)(each)
        for policy, each in by_policy.items()
    }
    ours = worst.pop("ours")
    return _figures.Figure(
        name=name,
        ours=ours,
        baselines=worst,
        unit=unit,
        higher_is_better=lowest,
        command=COMMAND,
        points=[
            [trace, round(found["ours"], 4)] for trace, found in values.items()
        ],
        **fields,
    )


def _wait_figures(
    trace: str, outcomes: Outcomes, suffix: str, window: tuple[float, float]
) -> list[_figures.Figure]:
    figures = []
    for workload_class in WORKLOAD_CLASSES:
        waits = {
            policy: waits_of(outcome, workload_class, window)
            for policy, outcome in outcomes.items()
        }
        if not all(waits.values()):
            continue
        for q in (50, 99):
            values = {
                policy: _figures.percentile(each, q)
                for policy, each in waits.items()
            }
            ours = values.pop("ours")
            figures.append(
                _figures.Figure(
                    name=f"wait_p{q}_s_{trace}_{workload_class}{suffix}",
                    ours=ours,
                    baselines=values,
                    unit="s",
                    command=COMMAND,
                    brief=True,
                )
            )
    return figures


def _batch_jobs(
    trace: _traces.Trace, capacity: list[int]
) -> list[dict[str, typing.Any]]:
    """Return submissions of batch jobs whose tasks fit a capacity."""
    return [
        event
        for event in trace.events
        if event["event"] == "submit"
        and event["kind"] == "batch"
        and all(
            need <= offered
            for need, offered in zip(event["need"], capacity, strict=True)
        )
    ]


def _needs(events: list[dict[str, typing.Any]]) -> list[_baselines.Need]:
    return [tuple(event["need"]) for event in events for _ in event["runs"]]


def _packing_ratios(trace: _traces.Trace) -> dict[str, float]:
    """Return the workers used over the lower bound, by policy."""
    first = _traces.worker_instances(trace.header)[0]
    instances = [
        model.Instance(
            instance_id=f"equal-{number}",
            kind=first.kind,
            state=first.state,
            data_centre=f"dc-{number % 3}",
            rack=f"rack-{number // 5}",
            address="",
            capacity=first.capacity,
        )
        for number in range(PACKED_WORKERS)
    ]
    capacity = _baselines.make_workers(instances)[0].capacity
    chosen: list[dict[str, typing.Any]] = []
    for event in _batch_jobs(trace, capacity):
        chosen.append(event)
        bound = lower_bound(_needs(chosen), capacity)
        if bound >= PACKED_SHARE * PACKED_WORKERS:
            break
    cell = _replay.saturate(instances, chosen, trace.header)
    used = {
        "ours": sum(
            bool(placement.attempts_on(cell, each))
            for each in placement.worker_ids(cell)
        )
    }
    for policy, choose in _baselines.make_policies().items():
        workers = _baselines.make_workers(instances)
        _baselines.place_all(workers, _needs(chosen), choose)
        used[policy] = sum(each.free != each.capacity for each in workers)
    bound = lower_bound(_needs(chosen), capacity)
    return {policy: count / bound for policy, count in used.items()}


def _saturation_shares(trace: _traces.Trace) -> dict[str, float]:
    """Return the reserved share of the fullest dimension, by policy."""
    instances = _traces.worker_instances(trace.header)
    workers = _baselines.make_workers(instances)
    totals = [
        sum(column)
        for column in zip(*(each.capacity for each in workers), strict=True)
    ]
    largest = [
        max(column)
        for column in zip(*(each.capacity for each in workers), strict=True)
    ]
    chosen: list[dict[str, typing.Any]] = []
    demand = 0
    for event in _batch_jobs(trace, largest):
        if event["need"][2]:
            continue
        chosen.append(event)
        demand += event["need"][0] * len(event["runs"])
        if demand > OVERLOAD * totals[0]:
            break
    cell = _replay.saturate(instances, chosen, trace.header)
    reserved = placement.reserved_total(cell)
    shares = {
        "ours": max(
            reserved.cpu_millis / totals[0], reserved.memory_mb / totals[1]
        )
    }
    for policy, choose in _baselines.make_policies().items():
        workers = _baselines.make_workers(instances)
        _baselines.place_all(workers, _needs(chosen), choose)
        shares[policy] = max(
            1 - sum(each.free[dimension] for each in workers) / total
            for dimension, total in enumerate(totals[:2])
        )
    return shares
