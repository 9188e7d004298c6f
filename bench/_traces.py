"""Workload traces of both deployments, and their generator.

A trace is a file of JSON lines, compressed by gzip. The first line is the
header: workers, teams, the length in seconds and the window of peak load.
Every other line is an event at time ``t``: a job submission, a cancellation or
a worker failure. ``python -m bench._traces`` writes the committed traces.
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
# When offices open, the arrival rate multiplies within seconds.
# Start and end of the peak.
PEAK_S = (120.0, 150.0)
PEAK_FACTOR = 5.0
URGENT_PEAK_FACTOR = 8.0

STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 50.0
# Declared sizes and run times differ from the real ones by up to this factor
# in either direction.
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
    """A group of identical workers.

    Attributes
    ----------
    name : str
        Prefix of the worker ids.
    count : int
        Number of workers.
    cpu_millis, memory_mb, accelerators : int
        Capacity of one worker.
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
    """Parameters from which the generator draws a trace.

    Attributes
    ----------
    name : str
        Name of the trace.
    shapes : tuple of Shape
        Groups of workers.
    data_centres : int
        Number of data centres.
    load : float
        Share of the processors in use outside the peak, computed from real
        sizes and run times.
    urgent_per_s : float
        Arrivals of urgent tasks per second outside the peak.
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
class JobClass:
    """A class of jobs.

    Attributes
    ----------
    name : str
        Workload class.
    kind : str
        Kind of the jobs.
    share : float
        Share of this class in the processor seconds of all non-urgent work.
    tasks : tuple of int
        Task counts to draw from.
    cores : tuple of float
        Core counts that a task really uses, to draw from.
    memory_per_core_mb : tuple of float
        Range of memory per core.
    accelerators : tuple of int
        Accelerator counts to draw from.
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


JOB_CLASSES: typing.Final = (
    JobClass(
        name="preview",
        kind="batch",
        share=0.5,
        tasks=(1, 1, 2, 4),
        cores=(1.0, 2.0, 3.0, 4.0),
        memory_per_core_mb=(500.0, 3000.0),
        accelerators=(0,),
        median_s=4.0,
    ),
    JobClass(
        name="fulfilment",
        kind="batch",
        share=0.25,
        tasks=(2, 4, 8),
        cores=(2.0, 4.0),
        memory_per_core_mb=(1000.0, 3000.0),
        accelerators=(0,),
        median_s=40.0,
    ),
    JobClass(
        name="frames",
        kind="batch",
        share=0.15,
        tasks=(1, 2),
        cores=(2.0, 4.0),
        memory_per_core_mb=(1000.0, 2000.0),
        accelerators=(1, 2),
        median_s=12.0,
    ),
    JobClass(
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
URGENT: typing.Final = JobClass(
    name="proof",
    kind="batch",
    share=0.0,
    tasks=(1,),
    cores=(1.0, 2.0),
    memory_per_core_mb=(500.0, 2000.0),
    accelerators=(0,),
    median_s=1.5,
)
# Number of tasks of each service; they run for the whole trace.
SERVICES: typing.Final = (("almanac", 6), ("orders", 4))


@attrs.frozen(kw_only=True)
class Trace:
    """A workload trace.

    Attributes
    ----------
    header : dict
        The first line of the file.
    events : list of dict
        The events in order of time.
    """

    header: dict[str, typing.Any]
    events: list[dict[str, typing.Any]]


def generate(deployment: Deployment, seed: int) -> Trace:
    """Generate the trace of a deployment; deterministic for a seed."""
    rng = random.Random(f"{deployment.name}/{seed}")
    workers = _make_workers(deployment)
    cores = sum(each["cpu_millis"] for each in workers) / 1000
    largest = max(each["cpu_millis"] for each in workers) / 1000
    header = {
        "name": deployment.name,
        "seed": seed,
        "length_s": LENGTH_S,
        "crest_s": list(PEAK_S),
        "teams": dict(TEAMS),
        "workers": workers,
    }
    events = list(_make_services(rng))
    for job_class in JOB_CLASSES:
        rate = (
            deployment.load * job_class.share * cores / _mean_core_s(job_class)
        )
        for at_s in _draw_arrivals(rng, rate, PEAK_FACTOR):
            events.append(_make_job(rng, job_class, at_s, largest))
    for at_s in _draw_arrivals(
        rng, deployment.urgent_per_s, URGENT_PEAK_FACTOR
    ):
        events.append(_make_job(rng, URGENT, at_s, largest, urgent=True))
    burst = [
        _make_job(rng, JOB_CLASSES[0], BURST_AT_S + n * 0.005, largest)
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
    """Return the trace with stragglers cut to normal run times."""

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
    """Parse a trace from JSON lines."""
    header, *events = (json.loads(line) for line in text.splitlines())
    return Trace(header=header, events=events)


def path_of(name: str) -> pathlib.Path:
    """Return the path of a committed trace."""
    return DIRECTORY / f"{name}.jsonl.gz"


def read_text(name: str) -> str:
    """Read the JSON lines of a committed trace."""
    return gzip.decompress(path_of(name).read_bytes()).decode()


def load(name: str) -> Trace:
    """Load a committed trace."""
    return from_text(read_text(name))


def worker_instances(
    header: dict[str, typing.Any],
) -> list[model.Instance]:
    """Return the workers of a trace as entries of the instance list."""
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
    """Convert a submission event to the declared job."""
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


def _mean_core_s(job_class: JobClass) -> float:
    """Return the mean core seconds that a job of a class uses."""
    slow = 1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)
    tasks = sum(job_class.tasks) / len(job_class.tasks)
    return (
        tasks
        * sum(job_class.cores)
        / len(job_class.cores)
        * job_class.median_s
        * slow
    )


def _draw_arrivals(
    rng: random.Random, rate: float, peak_factor: float
) -> collections.abc.Iterator[float]:
    """Draw arrival times of a Poisson process by thinning."""
    at_s = 0.0
    while True:
        at_s += rng.expovariate(rate * peak_factor)
        if at_s >= LENGTH_S:
            return
        in_peak = PEAK_S[0] <= at_s < PEAK_S[1]
        if in_peak or rng.random() < 1 / peak_factor:
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
    job_class: JobClass,
    at_s: float,
    largest_cores: float,
    *,
    urgent: bool = False,
) -> dict[str, typing.Any]:
    cores = rng.choice(job_class.cores)
    memory = cores * rng.uniform(*job_class.memory_per_core_mb)
    runs = []
    slow = []
    for index in range(rng.choice(job_class.tasks)):
        run_s = job_class.median_s * rng.lognormvariate(0.0, 0.4)
        if not urgent and rng.random() < STRAGGLER_SHARE:
            slow.append(index)
            run_s = job_class.median_s * STRAGGLER_FACTOR
        runs.append(round(run_s, 3))
    # Declared sizes are more often too large than too small.
    size_error = ERROR_FACTOR ** rng.uniform(-0.5, 1.0)
    need_cores = min(cores * size_error, largest_cores / 4)
    return {
        "t": round(at_s, 3),
        "event": "submit",
        "class": job_class.name,
        "kind": job_class.kind,
        "team": rng.choice(TEAMS)[0],
        "urgent": urgent,
        "need": [
            int(need_cores * 1000),
            int(memory * need_cores / cores),
            rng.choice(job_class.accelerators),
        ],
        "used": [int(cores * 1000), int(memory)],
        "declared_s": round(
            job_class.median_s * ERROR_FACTOR ** rng.uniform(-1.0, 1.0), 3
        ),
        "runs": runs,
        "slow": slow,
    }


if __name__ == "__main__":
    main()
