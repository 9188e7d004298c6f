"""Expected run times of tasks, for placement, order and admission."""

from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state


def expected_run_s(
    pool: _state.Pool,
    spec: _specs.JobSpec,
    step: int,
    worker: _state.Worker | None = None,
) -> float:
    """Return the expected run time of one task of a step, in seconds.

    Parameters
    ----------
    pool : Pool
        The pool that runs the job.
    spec : JobSpec
        The job.
    step : int
        Number of the step.
    worker : Worker or None
        Worker that runs the task; None for a typical worker of the pool.
    """
    return spec.steps[step].estimate_s
