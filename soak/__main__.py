"""Runs the soak with several seeds and prints one line for each."""

import argparse
import asyncio
import pathlib
import random
import sys
import time

from soak import _recut
from soak import _run
from soak import _seeds

OUTPUT = pathlib.Path("build") / "soak"

_CHOICES = {"always": True, "never": False, "random": None}


def main(arguments: list[str]) -> int:
    """Run the seeds; return 0 only if all passed."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument(
        "--first-seed", type=int, default=None, help="default: random"
    )
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--for-s", type=float, default=15.0)
    parser.add_argument(
        "--restarts",
        action="store_true",
        help="also restart workers under their ids and cut them soon, with "
        "the seed of the run",
    )
    parser.add_argument(
        "--recut",
        action="store_true",
        help="restart half of the workers and cut them soon, in a series, "
        "instead of the faults at random",
    )
    _add_series_options(parser)
    parser.add_argument(
        "--longest-lease-s", type=float, default=_run.LONGEST_LEASE_S
    )
    parser.add_argument(
        "--no-advice",
        action="store_true",
        help="let starts need no tickets",
    )
    parser.add_argument(
        "--output",
        type=pathlib.Path,
        default=OUTPUT,
        help="folder of the logs",
    )
    parser.add_argument(
        "--failed",
        action="store_true",
        help="rerun the seeds that have failed",
    )
    options = parser.parse_args(arguments)
    first = options.first_seed
    if first is None:
        first = random.SystemRandom().randrange(10**6)
    seeds = range(first, first + options.seeds)
    if options.failed:
        seeds = sorted(_seeds.FAILED)
    passed = failed = 0
    for seed in seeds:
        folder = options.output / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.glob("*.log"):
            old.unlink()
        started_at_s = time.monotonic()
        ledger = asyncio.run(
            _run.run_seed(
                folder.resolve(),
                seed,
                nodes=options.nodes,
                duration_s=options.for_s,
                restart_seed=seed if options.restarts else None,
                series=_make_series(options) if options.recut else None,
                advised=not options.no_advice,
                longest_lease_s=options.longest_lease_s,
            )
        )
        _run.write_ledger(folder, ledger)
        summary = _run.report(ledger)
        violations = summary.pop("violations")
        verdict = "failed" if violations else "passed"
        seconds = time.monotonic() - started_at_s
        print(f"seed {seed} {verdict} in {seconds:.0f} s: {summary}")
        for line in violations[:10]:
            print(f"    {line}")
        sys.stdout.flush()
        passed += not violations
        failed += bool(violations)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


def _add_series_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``--recut``."""
    default = _recut.Series()
    parser.add_argument("--silent-s", type=float, default=default.silent_s)
    parser.add_argument(
        "--entry-delay-s",
        type=float,
        default=default.entry_delay_s,
        help="time from a worker's return to its entry in the store",
    )
    parser.add_argument("--cut-s", type=float, default=default.cut_s)
    parser.add_argument("--latency-s", type=float, default=default.latency_s)
    parser.add_argument(
        "--kill-after-s",
        type=float,
        default=default.kill_after_s,
        help="time from the workers' return to the kill of the owner",
    )
    parser.add_argument(
        "--owner-stops",
        action="store_true",
        help="let the owner stop gracefully instead of killing it",
    )
    for name, text in (
        ("held", "calls during a silence reach the next incarnation"),
        ("killed", "the owner is killed before the cut"),
    ):
        parser.add_argument(
            f"--{name}",
            choices=sorted(_CHOICES),
            default="random",
            help=f"whether {text}",
        )
    parser.add_argument(
        "--late-share",
        type=float,
        default=None,
        help="share of the calls that are executed late; default: random",
    )


def _make_series(options: argparse.Namespace) -> _recut.Series:
    return _recut.Series(
        silent_s=options.silent_s,
        entry_delay_s=options.entry_delay_s,
        cut_s=options.cut_s,
        latency_s=options.latency_s,
        held=_CHOICES[options.held],
        killed=_CHOICES[options.killed],
        kill_after_s=options.kill_after_s,
        owner_stops=options.owner_stops,
        late_share=options.late_share,
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
