"""Runs the soak with several seeds and prints one line for each."""

import argparse
import asyncio
import pathlib
import random
import sys
import time

from soak import _run
from soak import _seeds

OUTPUT = pathlib.Path("build") / "soak"


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
    parser.add_argument(
        "--no-advice",
        action="store_true",
        help="let starts need no tickets",
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
        folder = OUTPUT / str(seed)
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
                recut=options.recut,
                advised=not options.no_advice,
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


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
