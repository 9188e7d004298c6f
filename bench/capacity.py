"""Updates the tables of docs/CAPACITY.md from the figures of the bench.

``python -m bench.capacity`` reads docs/figures.jsonl, a committed copy of
build/bench.jsonl, and writes the tables between the markers of the page.
``--check`` only checks whether the page is up to date.
"""

import collections.abc
import json
import pathlib
import sys
import typing

import attrs

_DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
PAGE = _DOCS / "CAPACITY.md"
FIGURES = _DOCS / "figures.jsonl"
BEGIN_MARKER = "<!-- {name}: made by python -m bench.capacity -->"
END_MARKER = "<!-- end of {name} -->"

SECONDS_PER_DAY = 86_400


@attrs.frozen(kw_only=True)
class Target:
    """Size and layout of the deployment to be supported.

    Attributes
    ----------
    data_centres, instances_per_data_centre : int
        Data centres, and entry instances in each.
    workers, pools : int
        Workers, and the pools into which they are divided.
    tasks : int
        Running tasks.
    starts_per_s : float
        Task starts per second at peak load.
    request_shards : int
        Request shards of all services together.
    config_changes_per_day : int
        Accepted config patches.
    failures_per_day, replacements_per_day : int
        Instances that fail, and instances that are stopped and replaced.
    lease_renew_s : float
        Seconds between two renewals of an instance lease.
    journal_writes_per_s : float
        Write budget per instance, which keeps the total within the rate limit
        of the store.
    worker_sync_s : float
        Seconds between two syncs of a worker.
    watch_s : float
        Duration of a waiting watch in seconds.
    """

    data_centres: int = 25
    instances_per_data_centre: int = 3
    workers: int = 2_500
    pools: int = 25
    tasks: int = 60_000
    starts_per_s: float = 1_300.0
    request_shards: int = 150
    config_changes_per_day: int = 4_500
    failures_per_day: int = 23
    replacements_per_day: int = 270
    lease_renew_s: float = 0.6
    journal_writes_per_s: float = 3.0
    worker_sync_s: float = 2.0
    watch_s: float = 20.0

    @property
    def instances(self) -> int:
        """Number of entry instances of the cell."""
        return self.data_centres * self.instances_per_data_centre

    @property
    def shards_per_instance(self) -> float:
        """Mean number of shards per instance."""
        return (self.pools + self.request_shards) / self.instances


# Figures of the control cost of a daemon: name, title, unit and limit.
LIMITS: typing.Final = (
    ("control_cpu_percent", "processor", "% of a core", 3.7),
    ("control_rss_mb", "memory", "MB", 128.0),
    ("control_bytes_per_s", "messages", "B/s", 9_000.0),
)


def main(arguments: collections.abc.Sequence[str]) -> int:
    """Update or check the page and return the exit code.

    Returns
    -------
    int
        1 if ``--check`` finds the page out of date, else 0.
    """
    text = PAGE.read_text(encoding="utf-8")
    updated = update_tables(
        text, read_figures(FIGURES.read_text(encoding="utf-8"))
    )
    if "--check" in arguments:
        return int(text != updated)
    PAGE.write_text(updated, encoding="utf-8")
    return 0


def read_figures(text: str) -> dict[str, dict[str, typing.Any]]:
    """Parse figures from JSON lines; return them by name."""
    lines = [json.loads(line) for line in text.splitlines() if line.strip()]
    return {line["name"]: line for line in lines}


def update_tables(text: str, figures: dict[str, dict[str, typing.Any]]) -> str:
    """Return the page with updated tables."""
    target = Target()
    tables = {
        "control": make_control_table(figures, target),
        "store": make_store_table(figures, target),
        "failures": make_failure_table(figures, target),
    }
    for name, rows in tables.items():
        begin_marker, end_marker = (
            BEGIN_MARKER.format(name=name),
            END_MARKER.format(name=name),
        )
        head, _, rest = text.partition(begin_marker)
        _, _, tail = rest.partition(end_marker)
        text = (
            "\n".join([head + begin_marker, "", *rows, "", end_marker]) + tail
        )
    return text


def fit_line(points: list[list[float]]) -> tuple[float, float]:
    """Fit a line by least squares; return intercept and slope."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    )
    return mean_y - slope * mean_x, slope


def make_control_table(
    figures: dict[str, dict[str, typing.Any]], target: Target
) -> list[str]:
    """Make the table of the control cost of a daemon, by size."""
    rows = [
        f"| per daemon | 3 | 8 | 24 (measured) | slope per instance |"
        f" {target.instances} (extrapolated) | limit | verdict |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for name, title, unit, limit in LIMITS:
        points = figures[f"{name}_24"]["points"]
        intercept, slope = fit_line(points)
        at_target = intercept + slope * target.instances
        over = at_target - limit
        verdict = "met" if over <= 0 else f"missed by {over:.3g} {unit}"
        cells = [f"{y:.3g}" for _, y in points]
        rows.append(
            f"| {title}, {unit} | {' | '.join(cells)} | {slope:.3g} |"
            f" {at_target:.3g} | {limit:g} | {verdict} |"
        )
    return rows


def make_store_table(
    figures: dict[str, dict[str, typing.Any]], target: Target
) -> list[str]:
    """Make the table of store calls, today and at the target size."""
    today = 8
    rows = [
        "| calls/s of all instances | kind | today (8) | target"
        f" ({target.instances}) | how |",
        "|---|---|---|---|---|",
    ]
    events = _cell_events_per_day(target)
    changes = target.config_changes_per_day / SECONDS_PER_DAY
    reads = events * target.instances / SECONDS_PER_DAY
    lines = [
        (
            "lease renewals",
            "write",
            today / target.lease_renew_s,
            target.instances / target.lease_renew_s,
            f"1 per {target.lease_renew_s} s and instance",
        ),
        (
            "journal",
            "write",
            today * 20.0,
            target.instances * target.journal_writes_per_s,
            "upper bound: budget of each instance, 20/s today,"
            f" {target.journal_writes_per_s:g}/s at the target",
        ),
        (
            "config patches",
            "write",
            changes,
            changes,
            "1 per change",
        ),
        (
            "takeovers",
            "write",
            events / SECONDS_PER_DAY,
            3 * events / SECONDS_PER_DAY,
            "record, fence and seal per shard",
        ),
        (
            "cell watches",
            "read",
            today / target.watch_s,
            target.instances / target.watch_s,
            f"1 waiting per instance, {target.watch_s:g} s each",
        ),
        (
            "cell reads",
            "read",
            reads * today / target.instances,
            reads,
            "1 per instance and change of a member or a shard",
        ),
    ]
    for title, kind, current, at_target, how in lines:
        rows.append(
            f"| {title} | {kind} | {current:.3g} | {at_target:.3g} | {how} |"
        )
    for kind in ("write", "read"):
        current = sum(line[2] for line in lines if line[1] == kind)
        at_target = sum(line[3] for line in lines if line[1] == kind)
        rows.append(
            f"| **all** | {kind} | {current:.3g} | {at_target:.3g} | |"
        )
    measured = figures.get("store_calls_per_s_24")
    if measured is not None:
        rows.append(
            "| measured, idle cell of 24 instances | all |"
            f" | {measured['ours']:.3g} | limit 100; {measured['note']} |"
        )
    return rows


def make_failure_table(
    figures: dict[str, dict[str, typing.Any]], target: Target
) -> list[str]:
    """Make the table of the costs of failures."""
    failover_s = figures["failover_s"]["ours"]
    shards = target.shards_per_instance
    per_centre = target.instances_per_data_centre
    centre_workers = target.workers // target.data_centres
    centre_tasks = target.tasks // target.data_centres
    stopped = target.failures_per_day * shards * failover_s / 60
    rows = [
        "| failure | how often | worked cost |",
        "|---|---|---|",
        f"| instance fails | {target.failures_per_day} a day |"
        f" {shards:.1f} shards without an owner for {failover_s:.2g} s each"
        f" (measured at 8 instances): {stopped:.1f} shard-minutes a day;"
        f" {3 * shards:.0f} store writes,"
        f" {(1 + 2 * shards) * target.instances:.0f} reads |",
        f"| instance replaced | {target.replacements_per_day} a day |"
        f" {shards:.1f} shards handed over, each within 0.5 s and the"
        f" successor's takeover; {4 * shards:.0f} writes;"
        f" a replacement every"
        f" {SECONDS_PER_DAY / target.replacements_per_day / 60:.1f} min |",
        "| rack or switch | every month or two | its workers' tasks wait for"
        " lease and margin (14 s with a 10 s lease), then start elsewhere;"
        " instances in it as above, at once |",
        f"| data centre | once or twice a year | {per_centre} instances:"
        f" {per_centre * shards:.0f} shards taken over at once;"
        f" {centre_workers} workers: {centre_tasks} tasks restarted, at"
        f" {target.starts_per_s:g} starts/s in"
        f" {centre_tasks / target.starts_per_s:.1f} s after their leases |",
        "| regions apart for an hour | now and then | owners on the side"
        " without the store go on only with a majority of the voters; else"
        " their shards move to the other side after the lease, and their"
        " workers' tasks lapse there |",
    ]
    return rows


def _cell_events_per_day(target: Target) -> float:
    """Return the changes of members and shard records per day."""
    per_change = 2 + 2 * target.shards_per_instance
    changes = target.failures_per_day + 2 * target.replacements_per_day
    return changes * per_change


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
