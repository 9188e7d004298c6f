"""Fair queues, team quotas, run time estimates and retry limits."""

from chestnuttide.queueing import _backoff
from chestnuttide.queueing import _estimates
from chestnuttide.queueing import _fair_queue
from chestnuttide.queueing import _quota
from chestnuttide.queueing import _retry_budget

Estimates = _estimates.Estimates
FairQueue = _fair_queue.FairQueue
QueueItem = _fair_queue.QueueItem
QuotaState = _quota.QuotaState
RetryBudget = _retry_budget.RetryBudget
RunTimeEstimate = _estimates.RunTimeEstimate
acquire = _quota.acquire
allows = _quota.allows
block_team = _fair_queue.block_team
cancel = _fair_queue.cancel
candidates = _fair_queue.candidates
charge = _fair_queue.charge
could_ever_allow = _quota.could_ever_allow
delay_s = _backoff.delay_s
dump_estimates = _estimates.dump_estimates
estimate_run_time = _estimates.estimate_run_time
expire = _fair_queue.expire
load_estimates = _estimates.load_estimates
peek = _fair_queue.peek
pop = _fair_queue.pop
push = _fair_queue.push
record_request = _retry_budget.record_request
record_run_time = _estimates.record_run_time
release = _quota.release
set_weights = _fair_queue.set_weights
take_retry = _retry_budget.take_retry
unblock_team = _fair_queue.unblock_team

__all__ = [
    "Estimates",
    "FairQueue",
    "QueueItem",
    "QuotaState",
    "RetryBudget",
    "RunTimeEstimate",
    "acquire",
    "allows",
    "block_team",
    "cancel",
    "candidates",
    "charge",
    "could_ever_allow",
    "delay_s",
    "dump_estimates",
    "estimate_run_time",
    "expire",
    "load_estimates",
    "peek",
    "pop",
    "push",
    "record_request",
    "record_run_time",
    "release",
    "set_weights",
    "take_retry",
    "unblock_team",
]
