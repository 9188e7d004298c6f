"""Runs all measurements, or those named as arguments."""

import os
import pathlib
import sys
import tempfile
import time

from bench import _control_cost
from bench import _decisions
from bench import _figures
from bench import _job_bounds
from bench import _plan_round
from bench import _policies
from bench import _request_path
from bench import _takeovers

OUTPUT = pathlib.Path("build") / "bench.jsonl"
PARTS = {
    "request_path": _request_path.measure,
    "control_cost": _control_cost.measure,
    "takeovers": _takeovers.measure,
    "policies": _policies.measure,
    "decisions": _decisions.measure,
    "plan_round": _plan_round.measure,
    "job_bounds": _job_bounds.measure,
}


def main(arguments: list[str]) -> int:
    """Run the measurements, print a table and write JSON lines."""
    unknown = set(arguments) - set(PARTS)
    if unknown:
        print(f"unknown parts {sorted(unknown)}; known: {', '.join(PARTS)}")
        return 2
    figures: list[_figures.Figure] = []
    failed = []
    started = time.monotonic()
    for part in arguments or PARTS:
        load = os.getloadavg()[0]
        part_started = time.monotonic()
        try:
            with tempfile.TemporaryDirectory(prefix="bench-") as directory:
                found = PARTS[part](pathlib.Path(directory))
        except (OSError, RuntimeError, TimeoutError) as error:
            failed.append(part)
            print(f"== {part}: failed: {error}", flush=True)
            continue
        elapsed_s = time.monotonic() - part_started
        print(f"== {part}, {elapsed_s:.0f} s, load {load:.1f}")
        for figure in found:
            print(_figures.render(figure), flush=True)
        figures += found
    _figures.write_lines(OUTPUT, figures)
    missed = [f.name for f in figures if _figures.verdict(f) == "missed"]
    print(
        f"{len(figures)} figures in {time.monotonic() - started:.0f} s,"
        f" written to {OUTPUT}; missed: {', '.join(missed) or 'none'}"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
