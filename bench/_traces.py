"""Recorded traces of both deployments, and their generator.

A trace is a file of JSON lines, compressed by gzip. The first line is the
header: workers, teams, the length in seconds and the crest of the surge. Each
other line is an event with its time ``t``: a submission, a cancellation or a
worker's failure. ``python -m bench._traces`` writes the committed traces.
"""

import collections.abc
import gzip
import json
import pathlib
import random
import typing

import attrs

from chestnuttide import model

DIRECTORY: typing.Final = pathlib.Path(__file__).parent / "traces"
SEED: typing.Final = 20_261_204

LENGTH_S = 300.0
# Offices open within seconds: arrivals rise to a multiple at once.
CREST_S = (120.0, 150.0)
CREST_FACTOR = 5.0
URGENT_CREST_FACTOR = 8.0

STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 50.0
# Declared sizes and run times are off by up to this factor, both ways.
ERROR_FACTOR = 4.0

BURST_AT_S = 130.0
BURST_JOBS = 300
BURST_CANCEL_AT_S = 138.0

TEAMS: typing.Final = (
    ("looms", 3.0),
    ("ceramics", 2.0),
    ("print", 2.0),
    ("casting", 1.0),
    ("studio", 1.0),
    ("archive", 1.0),
)


@attrs.frozen(kw_only=True)
class Shape:
    """A group of equal workers.

    Attributes
    ----------
    name : str
        Prefix of their ids.
    count : int
        How many.
    cpu_millis, memory_mb, accelerators : int
        Capacity of each.
    per_rack : int
        Workers in a rack.
    """

    name: str
    count: int
    cpu_millis: int
    memory_mb: int
    accelerators: int
    per_rack: int


@attrs.frozen(kw_only=True)
class Deployment:
    """What the generator draws a trace from.

    Attributes
    ----------
    name : str
        Name of the trace.
    shapes : tuple of Shape
        Its workers.
    data_centres : int
        Number of data centres.
    load : float
        Share of the processors that work outside of the crest keeps busy,
        by real sizes and run times.
    urgent_per_s : float
        Urgent tasks a second outside of the crest.
    """

    name: str
    shapes: tuple[Shape, ...]
    data_centres: int
    load: float
    urgent_per_s: float


DEPLOYMENTS: typing.Final = (
    Deployment(
        name="karoo",
        shapes=(
            Shape(
                name="workshop",
                count=20,
                cpu_millis=16_000,
                memory_mb=32_000,
                accelerators=0,
                per_rack=5,
            ),
            Shape(
                name="render",
                count=7,
                cpu_millis=64_000,
                memory_mb=256_000,
                accelerators=8,
                per_rack=3,
            ),
        ),
        data_centres=3,
        load=0.35,
        urgent_per_s=0.7,
    ),
    Deployment(
        name="bangkok",
        shapes=(
            Shape(
                name="casting",
                count=20,
                cpu_millis=64_000,
                memory_mb=128_000,
                accelerators=0,
                per_rack=4,
            ),
            Shape(
                name="studio",
                count=8,
                cpu_millis=32_000,
                memory_mb=64_000,
                accelerators=8,
                per_rack=3,
            ),
        ),
        data_centres=4,
        load=0.35,
        urgent_per_s=1.0,
    ),
)


@attrs.frozen(kw_only=True)
class Work:
    """A class of jobs.

    Attributes
    ----------
    name : str
        Workload class.
    kind : str
        Kind of its jobs.
    share : float
        Its share of the processor seconds of work that is not urgent.
    tasks : tuple of int
        Numbers of tasks to draw from.
    cores : tuple of float
        Real cores of a task to draw from.
    memory_per_core_mb : tuple of float
        Range of memory for each core.
    accelerators : tuple of int
        Numbers to draw from.
    median_s : float
        Median run time.
    """

    name: str
    kind: str
    share: float
    tasks: tuple[int, ...]
    cores: tuple[float, ...]
    memory_per_core_mb: tuple[float, float]
    accelerators: tuple[int, ...]
    median_s: float


WORKS: typing.Final = (
    Work(
        name="preview",
        kind="batch",
        share=0.5,
        tasks=(1, 1, 2, 4),
        cores=(1.0, 2.0, 3.0, 4.0),
        memory_per_core_mb=(500.0, 3000.0),
        accelerators=(0,),
        median_s=4.0,
    ),
    Work(
        name="fulfilment",
        kind="batch",
        share=0.25,
        tasks=(2, 4, 8),
        cores=(2.0, 4.0),
        memory_per_core_mb=(1000.0, 3000.0),
        accelerators=(0,),
        median_s=40.0,
    ),
    Work(
        name="frames",
        kind="batch",
        share=0.15,
        tasks=(1, 2),
        cores=(2.0, 4.0),
        memory_per_core_mb=(1000.0, 2000.0),
        accelerators=(1, 2),
        median_s=12.0,
    ),
    Work(
        name="solver",
        kind="gang",
        share=0.1,
        tasks=(4, 6, 8),
        cores=(2.0, 4.0),
        memory_per_core_mb=(500.0, 2000.0),
        accelerators=(0,),
        median_s=15.0,
    ),
)
URGENT: typing.Final = Work(
    name="proof",
    kind="batch",
    share=0.0,
    tasks=(1,),
    cores=(1.0, 2.0),
    memory_per_core_mb=(500.0, 2000.0),
    accelerators=(0,),
    median_s=1.5,
)
# Tasks of the services, which run from the start to the end.
SERVICES: typing.Final = (("almanac", 6), ("orders", 4))


@attrs.frozen(kw_only=True)
class Trace:
    """A trace.

    Attributes
    ----------
    header : dict
        The first line.
    events : list of dict
        The events by time.
    """

    header: dict[str, typing.Any]
    events: list[dict[str, typing.Any]]


def generate(deployment: Deployment, seed: int) -> Trace:
    """Return the trace of a deployment; equal for equal seeds."""
    rng = random.Random(f"{deployment.name}/{seed}")
    workers = _make_workers(deployment)
    cores = sum(each["cpu_millis"] for each in workers) / 1000
    largest = max(each["cpu_millis"] for each in workers) / 1000
    header = {
        "name": deployment.name,
        "seed": seed,
        "length_s": LENGTH_S,
        "crest_s": list(CREST_S),
        "teams": dict(TEAMS),
        "workers": workers,
    }
    events = list(_make_services(rng))
    for work in WORKS:
        rate = deployment.load * work.share * cores / _core_s(work)
        for at_s in _arrivals(rng, rate, CREST_FACTOR):
            events.append(_make_job(rng, work, at_s, largest))
    for at_s in _arrivals(rng, deployment.urgent_per_s, URGENT_CREST_FACTOR):
        events.append(_make_job(rng, URGENT, at_s, largest, urgent=True))
    burst = [
        _make_job(rng, WORKS[0], BURST_AT_S + n * 0.005, largest)
        for n in range(BURST_JOBS)
    ]
    events += burst
    events.sort(key=lambda event: event["t"])
    for number, event in enumerate(events):
        event["job"] = f"{event['class']}-{number}"
    events += [
        {"t": BURST_CANCEL_AT_S, "event": "cancel", "job": each["job"]}
        for each in burst
    ]
    for at_s in (60.0, 200.0):
        failed = rng.choice(workers)["id"]
        events.append(
            {"t": at_s, "event": "fail", "worker": failed, "back_s": 40.0}
        )
    events.sort(key=lambda event: event["t"])
    return Trace(header=header, events=events)


def without_stragglers(trace: Trace) -> Trace:
    """Return the trace with the run times of stragglers as of the rest."""

    def shorten(event: dict[str, typing.Any]) -> dict[str, typing.Any]:
        slow = set(event.get("slow", ()))
        if not slow:
            return event
        runs = [
            run_s / STRAGGLER_FACTOR if index in slow else run_s
            for index, run_s in enumerate(event["runs"])
        ]
        return {**event, "runs": runs, "slow": []}

    return Trace(header=trace.header, events=list(map(shorten, trace.events)))


def to_text(trace: Trace) -> str:
    """Return a trace as JSON lines."""
    lines = [trace.header, *trace.events]
    return "".join(
        json.dumps(line, separators=(",", ":")) + "\n" for line in lines
    )


def from_text(text: str) -> Trace:
    """Return the trace in JSON lines."""
    header, *events = (json.loads(line) for line in text.splitlines())
    return Trace(header=header, events=events)


def path_of(name: str) -> pathlib.Path:
    """Return the path of a committed trace."""
    return DIRECTORY / f"{name}.jsonl.gz"


def read_text(name: str) -> str:
    """Return the JSON lines of a committed trace."""
    return gzip.decompress(path_of(name).read_bytes()).decode()


def load(name: str) -> Trace:
    """Return a committed trace."""
    return from_text(read_text(name))


def worker_instances(
    header: dict[str, typing.Any],
) -> list[model.Instance]:
    """Return the workers of a trace as the instance list names them."""
    return [
        model.Instance(
            instance_id=each["id"],
            kind=model.InstanceKind.WORKER,
            state=model.InstanceState.LIVE,
            data_centre=each["data_centre"],
            rack=each["rack"],
            address="",
            capacity=model.Resources(
                cpu_millis=each["cpu_millis"],
                memory_mb=each["memory_mb"],
                accelerators=each["accelerators"],
            ),
        )
        for each in header["workers"]
    ]


def to_job(event: dict[str, typing.Any]) -> model.Job:
    """Return the job that a submission declares."""
    cpu_millis, memory_mb, accelerators = event["need"]
    return model.Job(
        job_id=event["job"],
        kind=model.JobKind(event["kind"]),
        team=event["team"],
        workload_class=event["class"],
        tasks=len(event["runs"]),
        resources=model.Resources(
            cpu_millis=cpu_millis,
            memory_mb=memory_mb,
            accelerators=accelerators,
        ),
        urgent=event["urgent"],
        declared_run_s=event["declared_s"],
    )


def main() -> None:
    """Write the committed traces."""
    DIRECTORY.mkdir(exist_ok=True)
    for deployment in DEPLOYMENTS:
        text = to_text(generate(deployment, SEED))
        path_of(deployment.name).write_bytes(
            gzip.compress(text.encode(), mtime=0)
        )


def _make_workers(deployment: Deployment) -> list[dict[str, typing.Any]]:
    workers = []
    rack = 0
    for shape in deployment.shapes:
        for number in range(shape.count):
            if number % shape.per_rack == 0:
                rack += 1
            workers.append(
                {
                    "id": f"{shape.name}-{number + 1}",
                    "data_centre": f"dc-{rack % deployment.data_centres + 1}",
                    "rack": f"rack-{rack}",
                    "cpu_millis": shape.cpu_millis,
                    "memory_mb": shape.memory_mb,
                    "accelerators": shape.accelerators,
                }
            )
    return workers


def _core_s(work: Work) -> float:
    """Return the mean core seconds of a job of a class."""
    slow = 1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)
    tasks = sum(work.tasks) / len(work.tasks)
    return tasks * sum(work.cores) / len(work.cores) * work.median_s * slow


def _arrivals(
    rng: random.Random, rate: float, crest_factor: float
) -> collections.abc.Iterator[float]:
    """Draw arrival times by thinning."""
    at_s = 0.0
    while True:
        at_s += rng.expovariate(rate * crest_factor)
        if at_s >= LENGTH_S:
            return
        in_crest = CREST_S[0] <= at_s < CREST_S[1]
        if in_crest or rng.random() < 1 / crest_factor:
            yield at_s


def _make_services(
    rng: random.Random,
) -> collections.abc.Iterator[dict[str, typing.Any]]:
    for name, tasks in SERVICES:
        yield {
            "t": 0.0,
            "event": "submit",
            "class": name,
            "kind": "service",
            "team": rng.choice(TEAMS)[0],
            "urgent": False,
            "need": [2000, 2000, 0],
            "used": [1000, 1500],
            "declared_s": 0.0,
            "runs": [0.0] * tasks,
            "slow": [],
        }


def _make_job(
    rng: random.Random,
    work: Work,
    at_s: float,
    largest_cores: float,
    *,
    urgent: bool = False,
) -> dict[str, typing.Any]:
    cores = rng.choice(work.cores)
    memory = cores * rng.uniform(*work.memory_per_core_mb)
    runs = []
    slow = []
    for index in range(rng.choice(work.tasks)):
        run_s = work.median_s * rng.lognormvariate(0.0, 0.4)
        if not urgent and rng.random() < STRAGGLER_SHARE:
            slow.append(index)
            run_s = work.median_s * STRAGGLER_FACTOR
        runs.append(round(run_s, 3))
    # People declare too much rather than too little.
    size_error = ERROR_FACTOR ** rng.uniform(-0.5, 1.0)
    need_cores = min(cores * size_error, largest_cores / 4)
    return {
        "t": round(at_s, 3),
        "event": "submit",
        "class": work.name,
        "kind": work.kind,
        "team": rng.choice(TEAMS)[0],
        "urgent": urgent,
        "need": [
            int(need_cores * 1000),
            int(memory * need_cores / cores),
            rng.choice(work.accelerators),
        ],
        "used": [int(cores * 1000), int(memory)],
        "declared_s": round(
            work.median_s * ERROR_FACTOR ** rng.uniform(-1.0, 1.0), 3
        ),
        "runs": runs,
        "slow": slow,
    }


if __name__ == "__main__":
    main()
