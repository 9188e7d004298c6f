"""Rate and latency of placement decisions on one core.

Most cases fill a cell of mixed workers until no further task fits and then
measure decisions in the full cell. Run
``python -m bench._placement_rate`` for a table of all cases.
"""

import collections.abc
import random
import sys
import time

import attrs
from hdrh import histogram

from chestnuttide import model
from chestnuttide import placement

WORKER_COUNTS = (100, 500, 2_500)
TASKS_PER_WORKER = 24
DATA_CENTRES = 25
WORKERS_PER_RACK = 5
DECISIONS = 20_000
SERVICE_TASKS = 40
REFUSALS = 5_000
VICTIMS = 500
SEED = 20

# Longest recorded latency, 10 s in nanoseconds, with 3 significant digits.
HIGHEST_NS = 10_000_000_000
DIGITS = 3
NS_PER_S = 1e9
NS_PER_MS = 1e6

# Workers without and with accelerators, and how often each shape occurs.
SHAPES = (
    (0.4, model.Resources(cpu_millis=16_000, memory_mb=32_768)),
    (0.3, model.Resources(cpu_millis=64_000, memory_mb=131_072)),
    (
        0.2,
        model.Resources(cpu_millis=64_000, memory_mb=262_144, accelerators=8),
    ),
    (
        0.1,
        model.Resources(cpu_millis=32_000, memory_mb=65_536, accelerators=8),
    ),
)


@attrs.frozen(kw_only=True, slots=True)
class PlacementFigures:
    """Results of one case.

    Attributes
    ----------
    case : str
        Name of the case.
    workers : int
        Number of workers.
    running : int
        Running tasks when the measurement starts.
    per_s : float
        Decisions per second, including the reservation if a worker is found.
    replaced_per_s : float
        The same, including the release of the replaced task; 0 in cases that
        replace no tasks.
    p50_ms, p99_ms, max_ms : float
        Latency of a decision, including the reservation.
    placed_share : float
        Share of the decisions that found a worker.
    """

    case: str
    workers: int
    running: int
    per_s: float
    replaced_per_s: float
    p50_ms: float
    p99_ms: float
    max_ms: float
    placed_share: float


def fill_cell(
    workers: int, rng: random.Random, *, preemptible: float = 0.5
) -> tuple[placement.Cell, list[model.Attempt]]:
    """Return a cell that is full for tasks of usual size."""
    cell = placement.make_cell()
    for number in range(workers):
        capacity = rng.choices(
            [shape for _weight, shape in SHAPES],
            [weight for weight, _shape in SHAPES],
        )[0]
        _add_worker(cell, number, capacity)
    running: list[model.Attempt] = []
    misses = 0
    while misses < 20 and len(running) < 4 * TASKS_PER_WORKER * workers:
        attempt = model.Attempt(
            job_id=f"fill{len(running)}", index=0, number=1
        )
        if _place(
            cell,
            attempt,
            _draw_need(rng),
            counts=None,
            preemptible=rng.random() < preemptible,
        ):
            running.append(attempt)
            misses = 0
        else:
            misses += 1
    return cell, running


def measure_turnover(
    workers: int, *, spread: float = 0.0, service_tasks: int = SERVICE_TASKS
) -> PlacementFigures:
    """Measure placements in a full cell while random tasks finish.

    Parameters
    ----------
    workers : int
        Number of workers.
    spread : float
        Share of the placed tasks that belong to services and are spread.
    service_tasks : int
        Tasks per service.
    """
    rng = random.Random(SEED)
    cell, running = fill_cell(workers, rng)
    services = [
        placement.SpreadCounts()
        for _ in range(max(1, int(DECISIONS * spread) // service_tasks))
    ]
    needs = [_draw_need(rng) for _ in range(DECISIONS)]
    end_positions = [rng.random() for _ in range(DECISIONS)]
    chosen_counts = [
        rng.choice(services) if rng.random() < spread else None
        for _ in range(DECISIONS)
    ]
    count = len(running)
    latency = histogram.HdrHistogram(1, HIGHEST_NS, DIGITS)
    placed = 0
    busy_ns = 0
    release_ns = 0
    for number in range(DECISIONS):
        attempt = model.Attempt(job_id="turnover", index=number, number=1)
        counts = chosen_counts[number]
        start_ns = time.perf_counter_ns()
        position = int(end_positions[number] * len(running))
        ended = running[position]
        running[position] = running[-1]
        running.pop()
        placement.release(cell, ended)
        released_ns = time.perf_counter_ns()
        found = _place(cell, attempt, needs[number], counts=counts)
        end_ns = time.perf_counter_ns()
        busy_ns += end_ns - released_ns
        release_ns += released_ns - start_ns
        latency.record_value(end_ns - released_ns)
        if found:
            placed += 1
            running.append(attempt)
            if counts is not None:
                placement.count_task(cell, counts, found)
    kind = f"services of {service_tasks}" if spread else "packed"
    return _make_figures(
        f"full, {kind}, {spread:.0%} spread",
        (workers, count),
        DECISIONS * NS_PER_S / busy_ns,
        latency,
        placed / DECISIONS,
        replaced_per_s=DECISIONS * NS_PER_S / (busy_ns + release_ns),
    )


def measure_fill(workers: int) -> PlacementFigures:
    """Measure placements from an empty cell until it is full."""
    rng = random.Random(SEED)
    cell, filled = fill_cell(workers, rng)
    for attempt in filled:
        placement.release(cell, attempt)
    latency = histogram.HdrHistogram(1, HIGHEST_NS, DIGITS)
    busy_ns = 0
    placed = 0
    for number in range(len(filled)):
        need = _draw_need(rng)
        attempt = model.Attempt(job_id="fill", index=number, number=1)
        start_ns = time.perf_counter_ns()
        found = _place(cell, attempt, need, counts=None)
        elapsed_ns = time.perf_counter_ns() - start_ns
        busy_ns += elapsed_ns
        latency.record_value(elapsed_ns)
        placed += found is not None
    return _make_figures(
        "from empty to full, packed",
        (workers, 0),
        len(filled) * NS_PER_S / busy_ns,
        latency,
        placed / len(filled),
    )


def measure_refusals(workers: int, *, spread: bool) -> PlacementFigures:
    """Measure decisions that find no worker in a full cell."""
    rng = random.Random(SEED)
    cell, running = fill_cell(workers, rng)
    free_capacities = [
        placement.free_of(cell, worker_id)
        for worker_id in placement.worker_ids(cell)
    ]
    # Slightly more than the free capacity of a random worker.
    needs = []
    while len(needs) < REFUSALS:
        free = rng.choice(free_capacities)
        need = model.Resources(
            cpu_millis=free.cpu_millis + rng.randrange(1_000),
            memory_mb=free.memory_mb + rng.randrange(1, 4_000),
        )
        if not any(model.fits(need, other) for other in free_capacities):
            needs.append(need)
    return _measure_refused(
        f"full, {'spread' if spread else 'packed'}, nothing fits",
        cell,
        needs,
        spread=spread,
    )


def measure_opposed(workers: int, *, spread: bool) -> PlacementFigures:
    """Measure refusals in the worst case for a one-dimensional index.

    The more free processors a worker has, the less free memory it has, and
    every need slightly exceeds the free capacity of one worker.
    """
    rng = random.Random(SEED)
    cell, _none = fill_cell(0, rng)
    capacity = model.Resources(cpu_millis=64_000, memory_mb=64_000)
    step = capacity.cpu_millis // workers
    for number in range(workers):
        worker_id = _add_worker(cell, number, capacity)
        _reserve(
            cell,
            worker_id,
            model.Attempt(job_id="rest", index=number, number=1),
            model.Resources(
                cpu_millis=number * step,
                memory_mb=capacity.memory_mb - number * step,
            ),
        )
    needs = []
    for _ in range(REFUSALS):
        number = rng.randrange(workers)
        needs.append(
            model.Resources(
                cpu_millis=capacity.cpu_millis - number * step,
                memory_mb=number * step + 1,
            )
        )
    return _measure_refused(
        f"opposed, {'spread' if spread else 'packed'}, nothing fits",
        cell,
        needs,
        spread=spread,
    )


def measure_victims(workers: int) -> PlacementFigures:
    """Measure the selection of attempts to evict in a full cell."""
    rng = random.Random(SEED)
    cell, running = fill_cell(workers, rng)
    latency = histogram.HdrHistogram(1, HIGHEST_NS, DIGITS)
    busy_ns = 0
    found = 0
    for _ in range(VICTIMS):
        need = _draw_need(rng)
        start_ns = time.perf_counter_ns()
        victims = placement.choose_victims(
            cell, need=need, priority=5, now=0.0, excluded=frozenset()
        )
        elapsed_ns = time.perf_counter_ns() - start_ns
        busy_ns += elapsed_ns
        latency.record_value(elapsed_ns)
        found += victims is not None
    return _make_figures(
        "full, victims",
        (workers, len(running)),
        VICTIMS * NS_PER_S / busy_ns,
        latency,
        found / VICTIMS,
    )


def measure_gangs(workers: int, *, planned: bool) -> PlacementFigures:
    """Measure placing, or planning reservations for, gangs of 64 tasks."""
    rng = random.Random(SEED)
    cell, running = fill_cell(workers, rng)
    latency = histogram.HdrHistogram(1, HIGHEST_NS, DIGITS)
    busy_ns = 0
    found = 0
    rounds = 20
    need = model.Resources(cpu_millis=8_000, memory_mb=8_192)
    for _ in range(rounds):
        start_ns = time.perf_counter_ns()
        if planned:
            gang: object = placement.plan_gang_reservation(
                cell, need=need, count=64, now=0.0, limit_s=30.0
            )
        else:
            gang = placement.choose_gang(
                cell,
                need=need,
                count=64,
                spread=False,
                excluded=frozenset(),
                now=0.0,
            )
        elapsed_ns = time.perf_counter_ns() - start_ns
        busy_ns += elapsed_ns
        latency.record_value(elapsed_ns)
        found += gang is not None
    return _make_figures(
        f"full, gang of 64, {'planned' if planned else 'now'}",
        (workers, len(running)),
        rounds * NS_PER_S / busy_ns,
        latency,
        found / rounds,
    )


def measure_all() -> collections.abc.Iterator[PlacementFigures]:
    """Measure all cases and yield their results."""
    for workers in WORKER_COUNTS:
        yield measure_fill(workers)
        yield measure_turnover(workers)
        yield measure_turnover(workers, spread=0.2)
        yield measure_turnover(workers, spread=1.0)
        yield measure_turnover(workers, spread=1.0, service_tasks=DECISIONS)
        yield measure_refusals(workers, spread=False)
        yield measure_refusals(workers, spread=True)
        yield measure_opposed(workers, spread=False)
        yield measure_opposed(workers, spread=True)
        yield measure_victims(workers)
        yield measure_gangs(workers, planned=False)
        yield measure_gangs(workers, planned=True)


def main() -> None:
    """Measure all cases and print a table."""
    sys.stdout.write(
        f"{'case':40}{'workers':>8}{'running':>8}{'per s':>9}{'replaced':>9}"
        f"{'p50 ms':>8}{'p99 ms':>8}{'max ms':>8}{'placed':>7}\n"
    )
    for item in measure_all():
        sys.stdout.write(
            f"{item.case:40}{item.workers:8}{item.running:8}"
            f"{item.per_s:9.0f}{item.replaced_per_s:9.0f}"
            f"{item.p50_ms:8.3f}{item.p99_ms:8.3f}{item.max_ms:8.3f}"
            f"{item.placed_share:7.2f}\n"
        )
        sys.stdout.flush()


def _add_worker(
    cell: placement.Cell, number: int, capacity: model.Resources
) -> str:
    rack = number // WORKERS_PER_RACK
    worker_id = f"w{number:05d}"
    placement.upsert_worker(
        cell,
        model.Instance(
            instance_id=worker_id,
            kind=model.InstanceKind.WORKER,
            state=model.InstanceState.LIVE,
            data_centre=f"dc{rack % DATA_CENTRES:02d}",
            rack=f"r{rack:04d}",
            address="",
            capacity=capacity,
        ),
        0.0,
    )
    return worker_id


def _measure_refused(
    case: str,
    cell: placement.Cell,
    needs: list[model.Resources],
    *,
    spread: bool,
) -> PlacementFigures:
    running = sum(
        len(placement.attempts_on(cell, worker_id))
        for worker_id in placement.worker_ids(cell)
    )
    latency = histogram.HdrHistogram(1, HIGHEST_NS, DIGITS)
    busy_ns = 0
    counts = placement.SpreadCounts() if spread else None
    for need in needs:
        start_ns = time.perf_counter_ns()
        found = placement.choose_worker(
            cell,
            need=need,
            spread=spread,
            spread_counts=counts,
            excluded=frozenset(),
            now=0.0,
        )
        elapsed_ns = time.perf_counter_ns() - start_ns
        if found is not None:
            raise AssertionError("placed a need that fits on no worker")
        busy_ns += elapsed_ns
        latency.record_value(elapsed_ns)
    return _make_figures(
        case,
        (placement.worker_count(cell), running),
        len(needs) * NS_PER_S / busy_ns,
        latency,
        0.0,
    )


def _draw_need(rng: random.Random) -> model.Resources:
    """Draw a need of about 1/24 of an average worker, some much larger."""
    cpu = rng.choice((250, 500, 1_000, 1_500, 2_000, 4_000))
    accelerators = rng.choice((0, 0, 0, 0, 0, 0, 0, 1, 1, 2))
    memory = int(cpu * rng.uniform(0.5, 4.0))
    return model.Resources(
        cpu_millis=cpu, memory_mb=memory, accelerators=accelerators
    )


def _place(
    cell: placement.Cell,
    attempt: model.Attempt,
    need: model.Resources,
    *,
    counts: placement.SpreadCounts | None,
    preemptible: bool = False,
) -> str | None:
    worker_id = placement.choose_worker(
        cell,
        need=need,
        spread=counts is not None,
        spread_counts=counts,
        excluded=frozenset(),
        now=0.0,
    )
    if worker_id is not None:
        _reserve(cell, worker_id, attempt, need, preemptible=preemptible)
    return worker_id


def _reserve(
    cell: placement.Cell,
    worker_id: str,
    attempt: model.Attempt,
    need: model.Resources,
    *,
    preemptible: bool = False,
) -> None:
    placement.reserve(
        cell,
        worker_id=worker_id,
        attempt=attempt,
        need=need,
        priority=0 if preemptible else 3,
        preemptible=preemptible,
        checkpoint=preemptible,
        throttle=False,
        urgent=False,
        expected_end=1.0 + len(attempt.job_id) + attempt.index % 60,
    )


def _make_figures(
    case: str,
    size: tuple[int, int],
    per_s: float,
    latency: histogram.HdrHistogram,
    placed_share: float,
    *,
    replaced_per_s: float = 0.0,
) -> PlacementFigures:
    return PlacementFigures(
        case=case,
        workers=size[0],
        running=size[1],
        per_s=per_s,
        replaced_per_s=replaced_per_s,
        p50_ms=latency.get_value_at_percentile(50) / NS_PER_MS,
        p99_ms=latency.get_value_at_percentile(99) / NS_PER_MS,
        max_ms=latency.get_max_value() / NS_PER_MS,
        placed_share=placed_share,
    )


if __name__ == "__main__":
    main()
