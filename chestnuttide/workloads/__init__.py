"""Scheduling decisions of a service's owner: jobs, runs and workers."""

from chestnuttide.workloads import _advisor_queries
from chestnuttide.workloads import _incarnations
from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _planning
from chestnuttide.workloads import _poll_replies
from chestnuttide.workloads import _records
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state
from chestnuttide.workloads import _supervision

Advice = _specs.Advice
Bounds = _state.Bounds
EndedJob = _records.EndedJob
Job = _state.Job
JobSpec = _specs.JobSpec
JobState = _state.JobState
Observation = _poll_replies.Observation
Phase = _state.Phase
Plan = _planning.Plan
Pool = _state.Pool
Question = _advisor_queries.Question
Queue = _specs.Queue
Run = _state.Run
StepAdvice = _state.StepAdvice
StepSpec = _specs.StepSpec
TERMINAL_STATES = _state.TERMINAL_STATES
Unit = _state.Unit
UnitState = _state.UnitState
Worker = _state.Worker
WorkerReport = _specs.WorkerReport
acknowledged_completion = _poll_replies.acknowledged_completion
add_job = _lifecycle.add_job
apply_look = _poll_replies.apply_look
apply_progress = _records.apply_progress
begin_lifetime = _incarnations.begin_lifetime
cancel_job = _lifecycle.cancel_job
confirm_start = _poll_replies.confirm_start
decode_job = _records.decode_job
encode_end = _records.encode_end
encode_job = _records.encode_job
encode_progress = _records.encode_progress
end_lifetime = _incarnations.end_lifetime
end_run = _lifecycle.end_run
evacuate = _supervision.evacuate
find_stalled = _supervision.find_stalled
former_lifetimes = _incarnations.former_lifetimes
hold_deadline_ms = _poll_replies.hold_deadline_ms
is_finished = _poll_replies.is_finished
is_usable = _planning.is_usable
lapse_silent_worker = _poll_replies.lapse_silent_worker
lease_deadline_ms = _poll_replies.lease_deadline_ms
make_plan = _planning.make_plan
note_advice = _advisor_queries.note_advice
note_clock = _poll_replies.note_clock
note_grant = _poll_replies.note_grant
note_question = _advisor_queries.note_question
pace_fillers = _supervision.pace_fillers
release_due_occurrences = _lifecycle.release_due_occurrences
step_of = _lifecycle.step_of
note_stored = _poll_replies.note_stored
stop_runs = _lifecycle.stop_runs
stop_stalled = _supervision.stop_stalled
update_worker = _poll_replies.update_worker
worker_key = _state.worker_key

__all__ = [
    "Advice",
    "Bounds",
    "EndedJob",
    "Job",
    "JobSpec",
    "JobState",
    "Observation",
    "Phase",
    "Plan",
    "Pool",
    "Question",
    "Queue",
    "Run",
    "StepAdvice",
    "StepSpec",
    "TERMINAL_STATES",
    "Unit",
    "UnitState",
    "Worker",
    "WorkerReport",
    "acknowledged_completion",
    "add_job",
    "apply_look",
    "apply_progress",
    "begin_lifetime",
    "cancel_job",
    "confirm_start",
    "decode_job",
    "encode_end",
    "encode_job",
    "encode_progress",
    "end_lifetime",
    "end_run",
    "evacuate",
    "find_stalled",
    "former_lifetimes",
    "hold_deadline_ms",
    "is_finished",
    "is_usable",
    "lapse_silent_worker",
    "lease_deadline_ms",
    "make_plan",
    "note_advice",
    "note_clock",
    "note_grant",
    "note_question",
    "pace_fillers",
    "note_stored",
    "release_due_occurrences",
    "step_of",
    "stop_runs",
    "stop_stalled",
    "update_worker",
    "worker_key",
]
