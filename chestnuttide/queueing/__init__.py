"""Fair queues, team quotas, run time estimates and retry limits."""

from chestnuttide.queueing import _backoff
from chestnuttide.queueing import _estimates
from chestnuttide.queueing import _fair_queue
from chestnuttide.queueing import _quota
from chestnuttide.queueing import _retry_budget

Estimates = _estimates.Estimates
Expectation = _estimates.Expectation
FairQueue = _fair_queue.FairQueue
QueueItem = _fair_queue.QueueItem
QuotaState = _quota.QuotaState
RetryBudget = _retry_budget.RetryBudget
acquire = _quota.acquire
allows = _quota.allows
block_team = _fair_queue.block_team
cancel = _fair_queue.cancel
candidates = _fair_queue.candidates
charge = _fair_queue.charge
could_ever_allow = _quota.could_ever_allow
delay_s = _backoff.delay_s
dump_estimates = _estimates.dump_estimates
expect = _estimates.expect
expire = _fair_queue.expire
load_estimates = _estimates.load_estimates
observe = _estimates.observe
peek = _fair_queue.peek
pop = _fair_queue.pop
push = _fair_queue.push
record_request = _retry_budget.record_request
release = _quota.release
set_weights = _fair_queue.set_weights
take_retry = _retry_budget.take_retry
unblock_team = _fair_queue.unblock_team

__all__ = [
    "Estimates",
    "Expectation",
    "FairQueue",
    "QueueItem",
    "QuotaState",
    "RetryBudget",
    "acquire",
    "allows",
    "block_team",
    "cancel",
    "candidates",
    "charge",
    "could_ever_allow",
    "delay_s",
    "dump_estimates",
    "expect",
    "expire",
    "load_estimates",
    "observe",
    "peek",
    "pop",
    "push",
    "record_request",
    "release",
    "set_weights",
    "take_retry",
    "unblock_team",
]
