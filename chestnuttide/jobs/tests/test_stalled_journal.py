"""Submissions while the journal does not commit."""

import random

import pytest

from chestnuttide import config
from chestnuttide import errors
from chestnuttide import jobs
from chestnuttide import model

NOT_RUN = errors.RunState.NOT_RUN
UNKNOWN = errors.RunState.UNKNOWN
STALL = jobs.JournalStalled(stalled=True)
RESUME = jobs.JournalStalled(stalled=False)


def submit(job_id: str) -> jobs.SubmitJob:
    return jobs.SubmitJob(
        token=job_id,
        job=model.Job(
            job_id=job_id,
            kind=model.JobKind.BATCH,
            team="makers",
            workload_class="tools",
            tasks=1,
            resources=model.Resources(cpu_millis=100, memory_mb=10),
            payload=b"",
        ),
    )


@pytest.mark.parametrize(
    ("messages", "refused", "accepted", "known"),
    [
        pytest.param(
            [submit("a"), STALL],
            {"a": UNKNOWN},
            [],
            [],
            id="a caller waits forever for an event that cannot commit",
        ),
        pytest.param(
            [submit("a"), STALL, "durable"],
            {"a": UNKNOWN},
            [],
            ["a"],
            id="a durable job never runs, or its call is answered twice",
        ),
        pytest.param(
            [STALL, submit("a")],
            {"a": NOT_RUN},
            [],
            [],
            id="a job that cannot be made durable is accepted",
        ),
        pytest.param(
            [submit("a"), STALL, "durable", RESUME, submit("b"), "durable"],
            {"a": UNKNOWN},
            ["b"],
            ["a", "b"],
            id="jobs are still refused after the journal resumes",
        ),
        pytest.param(
            [submit("a"), RESUME, "durable"],
            {},
            ["a"],
            ["a"],
            id="a submission is refused although the journal commits",
        ),
    ],
)
def test_stalled_journal_answers_submissions(
    messages: list[object],
    refused: dict[str, errors.RunState],
    accepted: list[str],
    known: list[str],
) -> None:
    state = jobs.PoolState(
        document=config.CellConfig(teams={"makers": config.TeamConfig()}),
        rng=random.Random(0),
    )
    run = jobs.make_pool_filter(state=state)
    pending: list[int] = []
    outputs: list[object] = []
    for message in messages:
        if message == "durable":
            message = jobs.JournalDurable(tokens=tuple(pending))
            pending = []
        new_outputs = run(message, 1.0)
        pending += [
            output.token
            for output in new_outputs
            if isinstance(output, jobs.AppendEvent)
        ]
        outputs += new_outputs
    refusals = [
        output for output in outputs if isinstance(output, jobs.JobRefused)
    ]
    assert {
        output.token: output.error.run_state for output in refusals
    } == refused
    assert len(refusals) == len(refused)
    assert {output.error.reason for output in refusals} <= {
        errors.Reason.STORE_UNAVAILABLE
    }
    assert [
        output.job_id
        for output in outputs
        if isinstance(output, jobs.JobAccepted)
    ] == accepted
    assert [
        output.job.job_id for output in jobs.list_jobs(state, 2.0)
    ] == known
