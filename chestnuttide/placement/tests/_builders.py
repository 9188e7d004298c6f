"""Builders of cells, workers and reservations for the tests."""

import math

from chestnuttide import config
from chestnuttide import model
from chestnuttide import placement

LIVE = model.InstanceState.LIVE


def amounts(
    cpu: int, memory: int = 0, accelerators: int = 0
) -> model.Resources:
    return model.Resources(
        cpu_millis=cpu, memory_mb=memory, accelerators=accelerators
    )


def instance(
    worker_id: str,
    capacity: model.Resources,
    *,
    state: model.InstanceState = LIVE,
    place: str = "a/1",
) -> model.Instance:
    data_centre, rack = place.split("/")
    return model.Instance(
        instance_id=worker_id,
        kind=model.InstanceKind.WORKER,
        state=state,
        data_centre=data_centre,
        rack=rack,
        address="127.0.0.1:1",
        capacity=capacity,
    )


def cell_of(
    workers: dict[str, tuple[str, model.Resources]],
    pool: config.PoolConfig | None = None,
) -> placement.Cell:
    """Return a cell of workers; each has a data centre/rack and a capacity."""
    cell = placement.make_cell(pool)
    for worker_id, (place, capacity) in workers.items():
        placement.upsert_worker(
            cell, instance(worker_id, capacity, place=place), 0.0
        )
    return cell


def attempt(name: str, index: int = 0) -> model.Attempt:
    return model.Attempt(job_id=name, index=index, number=1)


def reserve(
    cell: placement.Cell,
    worker_id: str,
    name: str,
    need: model.Resources,
    **options: object,
) -> model.Attempt:
    """Reserve for attempt 1 of task 0 of a job; returns the attempt."""
    reserved = options.pop("attempt", attempt(name))
    values = {
        "priority": 0,
        "preemptible": False,
        "checkpoint": False,
        "throttle": False,
        "urgent": False,
        "expected_end": math.inf,
    }
    placement.reserve(
        cell,
        worker_id=worker_id,
        attempt=reserved,
        need=need,
        **(values | options),
    )
    return reserved


def choose(
    cell: placement.Cell, need: model.Resources, **options: object
) -> str | None:
    values = {
        "spread": False,
        "spread_counts": None,
        "excluded": frozenset(),
        "now": 0.0,
    }
    return placement.choose_worker(cell, need=need, **(values | options))
