"""Which workspace makes a call, and whether its keys may be trusted now.

Decisions only: the configuration, the key, the clock and the time of the last
confirmation are arguments.
"""

import math
import typing

import attrs

from chestnuttide.node import _settings
from chestnuttide import platform
from chestnuttide import workloads

# Share of the revocation bound for which a confirmed configuration is used.
# The rest covers clocks of unequal speed.
CONFIRMED_SHARE: typing.Final = 0.9

# A watch of the configuration waits for at most this share of the bound, so
# that the confirmation of a working watch does not get old.
WATCH_SHARE: typing.Final = 0.25

# Peers are asked when the confirmation has used this share of its time.
ASK_SHARE: typing.Final = 0.5


@attrs.frozen(kw_only=True, slots=True)
class Access:
    """The decision on a caller's key.

    Attributes
    ----------
    workspace : str
        Workspace of the caller; empty if the call needs no key.
    refusal : str
        Reason for a refusal, one of `REFUSALS`; empty if the call may go on.
    """

    workspace: str = ""
    refusal: str = ""


# Status and message for each reason. The calls are refused before anything
# is stored.
REFUSALS: typing.Final[dict[str, tuple[int, str]]] = {
    "no_key": (
        401,
        f"The call has no key. Send one in {platform.KEY_HEADER}.",
    ),
    "unknown_key": (
        401,
        "The key is not in force. Use a key of the current configuration.",
    ),
    "other_workspace": (
        403,
        "The job belongs to another workspace. Use a key of that workspace.",
    ),
    "config_unconfirmed": (
        503,
        "It is not known whether the key is still in force. Come back later.",
    ),
}


def confirmation_limit_s(bounds: _settings.BoundSettings) -> float:
    """Return for how long a confirmed configuration is used, in seconds."""
    if not bounds.strict_revoke:
        return math.inf
    return CONFIRMED_SHARE * bounds.revoke_ms / 1000


def watch_wait_s(wait_s: float, limit_s: float) -> float:
    """Return how long a watch of the configuration may wait, in seconds."""
    return min(wait_s, WATCH_SHARE * limit_s / CONFIRMED_SHARE)


def confirmed_by_watch(
    *, sent_at: float, answered_at: float, wait_s: float, empty: bool
) -> float:
    """Return until when the store's answer shows that nothing was newer.

    A listing, or a watch with changes, shows the state of some moment after it
    was sent. The store answers a watch without changes once it has waited, so
    until then there was no change.
    """
    if empty and answered_at - sent_at >= wait_s:
        return sent_at + wait_s
    return sent_at


def confirmed_by_peer(
    *,
    sent_at: float,
    age_s: float,
    peer_version: int,
    known_version: int,
) -> float:
    """Return until when a peer's answer confirms the known version.

    A peer whose version is older, or a release that gives no age (below 0),
    confirms nothing. The age was taken after the call was sent, so the peer's
    confirmation is at least as recent as the returned time.
    """
    # NaN compares as false.
    if not age_s >= 0 or peer_version != known_version:
        return -math.inf
    return sent_at - age_s


def is_confirmed(*, confirmed_at: float, limit_s: float, now: float) -> bool:
    """Return whether calls with keys may be served at a time."""
    return limit_s == math.inf or now - confirmed_at < limit_s


def decide(
    config: platform.ClusterConfig,
    queue: workloads.Queue,
    key: str,
    *,
    confirmed: bool,
) -> Access:
    """Return the workspace of a call, or why it is refused.

    Parameters
    ----------
    config : ClusterConfig
        The configuration in force.
    queue : Queue
        Queue of the call.
    key : str
        Key that the call carries; empty if it has none.
    confirmed : bool
        Whether the configuration was confirmed in time before the request
        arrived; see `is_confirmed`.
    """
    if config.workspaces is None or queue.public:
        return Access()
    if not key:
        return Access(refusal="no_key")
    if not confirmed:
        return Access(refusal="config_unconfirmed")
    workspace = config.keys.get(platform.digest_key(key))
    if workspace is None:
        return Access(refusal="unknown_key")
    return Access(workspace=workspace)


def may_see(
    workspace: str, job_workspace: str, *, same_queue: bool = True
) -> bool:
    """Return whether a caller may see or cancel a job.

    A call without a workspace is one to a public queue; it may see the jobs
    of that queue. A job without a workspace came through one, or was stored
    before the workspaces came.
    """
    if not workspace:
        return same_queue or not job_workspace
    return not job_workspace or workspace == job_workspace


def count_key_changes(
    former: platform.ClusterConfig | None, config: platform.ClusterConfig
) -> tuple[int, int]:
    """Return how many keys a version adds, and how many it withdraws.

    A key that moves to another workspace counts as both.
    """
    before = set(former.keys.items()) if former is not None else set()
    after = set(config.keys.items())
    return len(after - before), len(before - after)


def list_workspaces(
    config: platform.ClusterConfig | None,
    *,
    keys_withdrawn: int,
    confirmed_age_s: float,
) -> list[dict[str, object]]:
    """Return a row for each workspace, without keys, for operators.

    Parameters
    ----------
    config : ClusterConfig or None
        The configuration in force.
    keys_withdrawn : int
        Number of keys that its version has withdrawn, of all workspaces.
    confirmed_age_s : float
        Age of its last confirmation; infinite if there was none.
    """
    if config is None or config.workspaces is None:
        return []
    counts: dict[str, int] = {}
    for name in config.keys.values():
        counts[name] = counts.get(name, 0) + 1
    age_s = round(confirmed_age_s, 2) if confirmed_age_s < math.inf else None
    return [
        {
            "workspace": workspace.name,
            "weight": workspace.weight,
            "cap": attrs.asdict(workspace.cap),
            "keys": counts.get(workspace.name, 0),
            "config_version": config.version,
            "keys_withdrawn": keys_withdrawn,
            "confirmed_age_s": age_s,
        }
        for workspace in config.workspaces
    ]
