"""Scheduling decisions of a service's owner: jobs, runs and workers."""

from chestnuttide.workloads import _admission
from chestnuttide.workloads import _advisor_queries
from chestnuttide.workloads import _crashes
from chestnuttide.workloads import _expectations
from chestnuttide.workloads import _fencing
from chestnuttide.workloads import _incarnations
from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _planning
from chestnuttide.workloads import _poll_replies
from chestnuttide.workloads import _records
from chestnuttide.workloads import _run_observations
from chestnuttide.workloads import _run_time_records
from chestnuttide.workloads import _run_time_rows
from chestnuttide.workloads import _run_times
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _starts
from chestnuttide.workloads import _state
from chestnuttide.workloads import _stops
from chestnuttide.workloads import _supervision
from chestnuttide.workloads import _units
from chestnuttide.workloads import _waiting
from chestnuttide.workloads import _waiting_tasks
from chestnuttide.workloads import _worker_health
from chestnuttide.workloads import _worker_index

AdmissionState = _admission.AdmissionState
AdmissionVerdict = _admission.Verdict
Advice = _specs.Advice
AdvisorQuery = _advisor_queries.AdvisorQuery
CALL_S = _poll_replies.CALL_S
COUNTED_REASONS = _waiting.COUNTED_REASONS
CapWait = _waiting_tasks.CapWait
Crash = _state.Crash
EndedJob = _records.EndedJob
Finding = _worker_health.Finding
Job = _state.Job
JobSpec = _specs.JobSpec
JobState = _state.JobState
LONG_WAIT_S = _waiting_tasks.LONG_WAIT_S
LoadPolicy = _state.LoadPolicy
PROVEN_RUN_S = _state.PROVEN_RUN_S
Phase = _state.Phase
Plan = _planning.Plan
PollReply = _poll_replies.PollReply
Pool = _state.Pool
Queue = _specs.Queue
QueryLimit = _advisor_queries.QueryLimit
Run = _state.Run
RunTimes = _run_times.RunTimes
StepAdvice = _state.StepAdvice
StepSpec = _specs.StepSpec
TERMINAL_STATES = _state.TERMINAL_STATES
TimeLimits = _state.TimeLimits
Unit = _state.Unit
UnitState = _state.UnitState
WaitReason = _waiting.WaitReason
WaitingTask = _waiting_tasks.WaitingTask
Worker = _state.Worker
WorkerReport = _specs.WorkerReport
Workspace = _specs.Workspace
acknowledged_completion = _poll_replies.acknowledged_completion
add_job = _lifecycle.add_job
adopt_snapshot = _run_time_records.adopt_snapshot
apply_poll_reply = _poll_replies.apply_poll_reply
apply_progress = _records.apply_progress
assign_fencing_token = _fencing.assign_fencing_token
begin_start = _starts.begin_start
cancel_job = _lifecycle.cancel_job
confirm_start = _poll_replies.confirm_start
add_worker = _worker_index.add_worker
count_by_workspace = _waiting.count_by_workspace
count_planned = _starts.count_planned
count_waiting_tasks = _waiting.count_waiting_tasks
decide_admission = _admission.decide
decode_job = _records.decode_job
decode_run_times = _run_time_records.decode_run_times
drop_run = _lifecycle.drop_run
encode_ended_job = _records.encode_ended_job
encode_job = _records.encode_job
encode_progress = _records.encode_progress
estimate_progress_bytes = _records.estimate_progress_bytes
encode_run_times = _run_time_records.encode_run_times
end_incarnation = _incarnations.end_incarnation
end_run = _lifecycle.end_run
ended_incarnations = _incarnations.ended_incarnations
evacuate = _supervision.evacuate
expected_run_s = _expectations.expected_run_s
expire_worker_lease = _poll_replies.expire_worker_lease
explain_wait = _waiting.explain_wait
find_stalled = _supervision.find_stalled
has_valid_ticket = _starts.has_valid_ticket
is_old_entry = _worker_index.is_old_entry
is_query_open = _advisor_queries.is_open
is_outdated_token = _fencing.is_outdated
is_removable = _poll_replies.is_removable
is_unsent = _starts.is_unsent
is_usable = _planning.is_usable
describe_admission = _admission.list_row
lease_bound_s = _poll_replies.lease_bound_s
lease_deadline_ms = _poll_replies.lease_deadline_ms
longest_lease_s = _poll_replies.longest_lease_s
list_incarnations = _worker_index.list_incarnations
list_run_times = _run_time_rows.list_run_times
list_waiting_tasks = _waiting_tasks.list_waiting_tasks
listed_capacity = _state.listed_capacity
longest_lasting_wait_s = _waiting_tasks.longest_lasting_wait_s
make_plan = _planning.make_plan
needs_confirmation = _starts.needs_confirmation
may_send_start = _starts.may_send_start
overall_run_time_errors = _run_time_rows.overall_errors
poll_lease_deadline_ms = _poll_replies.poll_lease_deadline_ms
observe_admissions = _admission.observe
record_broken_connection = _poll_replies.record_broken_connection
record_clock = _poll_replies.record_clock
record_entry = _worker_index.record_entry
record_lease = _poll_replies.record_lease
record_sent_lease = _poll_replies.record_sent_lease
record_unanswered_start = _poll_replies.record_unanswered_start
record_refusal = _starts.record_refusal
record_query = _advisor_queries.record_query
record_query_result = _advisor_queries.record_query_result
record_stop_answer = _stops.record_stop_answer
refresh_run_times = _run_observations.refresh
release_due_occurrences = _units.release_due_occurrences
remove_worker = _worker_index.remove_worker
requested_by_workspace = _state.requested_by_workspace
remember_doubtful = _admission.remember_doubtful
settle_crashes = _crashes.settle_crashes
start_incarnation = _incarnations.start_incarnation
step_of = _lifecycle.step_of
stop_runs = _lifecycle.stop_runs
stop_stalled = _supervision.stop_stalled
take_due_stops = _stops.take_due_stops
throttle_fillers = _supervision.throttle_fillers
update_stored_completion = _poll_replies.update_stored_completion
update_top_priority = _supervision.update_top_priority
update_worker = _poll_replies.update_worker
withdraw_outdated_token = _fencing.withdraw_outdated_token
withholds_acknowledgement = _poll_replies.withholds_acknowledgement
worker_key = _state.worker_key

__all__ = [
    "AdmissionState",
    "AdmissionVerdict",
    "Advice",
    "AdvisorQuery",
    "CALL_S",
    "COUNTED_REASONS",
    "CapWait",
    "Crash",
    "EndedJob",
    "Finding",
    "Job",
    "JobSpec",
    "JobState",
    "LONG_WAIT_S",
    "LoadPolicy",
    "PROVEN_RUN_S",
    "Phase",
    "Plan",
    "PollReply",
    "Pool",
    "QueryLimit",
    "Queue",
    "Run",
    "RunTimes",
    "StepAdvice",
    "StepSpec",
    "TERMINAL_STATES",
    "TimeLimits",
    "Unit",
    "UnitState",
    "WaitReason",
    "WaitingTask",
    "Worker",
    "WorkerReport",
    "Workspace",
    "acknowledged_completion",
    "add_job",
    "adopt_snapshot",
    "apply_poll_reply",
    "apply_progress",
    "assign_fencing_token",
    "begin_start",
    "cancel_job",
    "confirm_start",
    "add_worker",
    "count_by_workspace",
    "count_planned",
    "count_waiting_tasks",
    "decide_admission",
    "decode_job",
    "decode_run_times",
    "drop_run",
    "encode_ended_job",
    "encode_job",
    "encode_progress",
    "estimate_progress_bytes",
    "encode_run_times",
    "end_incarnation",
    "end_run",
    "ended_incarnations",
    "evacuate",
    "expected_run_s",
    "expire_worker_lease",
    "explain_wait",
    "find_stalled",
    "has_valid_ticket",
    "is_old_entry",
    "is_outdated_token",
    "is_query_open",
    "is_removable",
    "is_unsent",
    "is_usable",
    "describe_admission",
    "lease_bound_s",
    "lease_deadline_ms",
    "longest_lease_s",
    "list_incarnations",
    "list_run_times",
    "list_waiting_tasks",
    "listed_capacity",
    "longest_lasting_wait_s",
    "make_plan",
    "may_send_start",
    "needs_confirmation",
    "overall_run_time_errors",
    "poll_lease_deadline_ms",
    "observe_admissions",
    "record_broken_connection",
    "record_clock",
    "record_entry",
    "record_lease",
    "record_sent_lease",
    "record_query",
    "record_refusal",
    "record_query_result",
    "record_stop_answer",
    "record_unanswered_start",
    "refresh_run_times",
    "release_due_occurrences",
    "remove_worker",
    "requested_by_workspace",
    "remember_doubtful",
    "settle_crashes",
    "start_incarnation",
    "step_of",
    "stop_runs",
    "stop_stalled",
    "take_due_stops",
    "throttle_fillers",
    "update_stored_completion",
    "update_top_priority",
    "update_worker",
    "withdraw_outdated_token",
    "withholds_acknowledgement",
    "worker_key",
]
