"""Seeds that have failed, with the cause of each; ``--failed`` reruns them.

A seed fixes the faults and the jobs but not the timing of the daemons, so one
passing run does not prove a fix. The table-driven tests of the decision
functions do.
"""

FAILED = {
    1001: "the soak waited for a daemon that another fault had restarted",
    1009: "starts that reached a new incarnation were not counted as used",
    1010: "a poll for an old incarnation acknowledged completions of the new",
    1014: "a start that reached a new incarnation was treated as lost",
    1017: "same cause as 1010",
    2013: "a watch on an unresponsive connection returned only after 20 s",
    2026: "check: a lease expired before its completion was acknowledged",
    2028: "same cause as 2013",
    2031: "same cause as 2026",
    2032: "same cause as 2013",
    2035: "same cause as 2013",
    4108: "a job that ended early delayed the others in its transaction",
    4204: "check: a partition delayed a start until after a cancel",
}
