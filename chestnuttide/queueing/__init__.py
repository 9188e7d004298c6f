"""Fair queues, run time estimates and retry limits."""

from chestnuttide.queueing import _backoff
from chestnuttide.queueing import _estimates
from chestnuttide.queueing import _fair_queue
from chestnuttide.queueing import _retry_budget

Estimates = _estimates.Estimates
FairQueue = _fair_queue.FairQueue
QueueItem = _fair_queue.QueueItem
RetryBudget = _retry_budget.RetryBudget
RunTimeEstimate = _estimates.RunTimeEstimate
block_team = _fair_queue.block_team
cancel = _fair_queue.cancel
candidates = _fair_queue.candidates
charge = _fair_queue.charge
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
set_weights = _fair_queue.set_weights
take_retry = _retry_budget.take_retry
unblock_team = _fair_queue.unblock_team

__all__ = [
    "Estimates",
    "FairQueue",
    "QueueItem",
    "RetryBudget",
    "RunTimeEstimate",
    "block_team",
    "cancel",
    "candidates",
    "charge",
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
    "set_weights",
    "take_retry",
    "unblock_team",
]
