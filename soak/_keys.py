"""Keys of workspaces that come and go, and calls that try them."""

import asyncio
import random
import time

import attrs
from tornado import httpclient

from soak import _checks
from standins import node_cell

# Keys that stay in force, by workspace.
LASTING = {"a": "lasting-key-a", "b": "lasting-key-b"}

UNKNOWN_KEY = "key-that-no-version-had"

# Bound of the daemons' settings on withdrawn keys.
REVOKE_S = 5.0
BOUNDS = {"strict_revoke": True, "revoke_ms": REVOKE_S * 1000}

# Pause between two tries, which is short against the bound.
PAUSE_S = 0.05
TRY_TIMEOUT_S = 8.0


@attrs.define(kw_only=True)
class Keys:
    """Keys in force and keys that were withdrawn.

    Attributes
    ----------
    changing : str
        Key of workspace ``a`` that the newest version has beside the lasting
        one; empty for none.
    withdrawn : dict of str to float
        Monotonic time at which the store acknowledged a version without the
        key, for each key that is not in force.
    """

    changing: str = ""
    withdrawn: dict[str, float] = attrs.field(factory=dict)


def key_of(job_id: str) -> str:
    """Return the key that a job's caller sends."""
    return LASTING["a" if int(job_id[-1], 16) % 2 else "b"]


def change(keys: Keys, rng: random.Random, version: int) -> None:
    """Choose the keys of a version that the caller writes at once.

    A key that was withdrawn may come back.
    """
    if keys.changing:
        keys.withdrawn[keys.changing] = time.monotonic()
    choices = ["", f"key-of-version-{version}", *keys.withdrawn]
    keys.changing = rng.choice(choices)
    keys.withdrawn.pop(keys.changing, None)


def list_workspaces(keys: Keys) -> dict[str, list[str]]:
    """Return the keys of each workspace for a configuration."""
    workspaces = {name: [key] for name, key in LASTING.items()}
    if keys.changing:
        workspaces["a"].append(keys.changing)
    return workspaces


async def try_keys(
    ledger: _checks.Ledger,
    keys: Keys,
    nodes: list[node_cell.Node],
    rng: random.Random,
) -> None:
    """Call with withdrawn and unknown keys until cancelled.

    A call runs when it is answered with success.
    """
    tries: set[asyncio.Task[None]] = set()
    while True:
        await asyncio.sleep(PAUSE_S)
        node = rng.choice(nodes)
        key = rng.choice([UNKNOWN_KEY, *keys.withdrawn])
        task = asyncio.ensure_future(_try(ledger, keys, node, key))
        tries.add(task)
        task.add_done_callback(tries.discard)


async def _try(
    ledger: _checks.Ledger, keys: Keys, node: node_cell.Node, key: str
) -> None:
    withdrawn_at = keys.withdrawn.get(key)
    sent_at = time.monotonic()
    try:
        response = await httpclient.AsyncHTTPClient().fetch(
            httpclient.HTTPRequest(
                node_cell.url(node),
                headers={"Host": node_cell.HOST, "X-Api-Key": key},
                request_timeout=TRY_TIMEOUT_S,
            ),
            raise_error=False,
        )
    except (OSError, httpclient.HTTPError):
        return
    ledger.key_tries[response.code] += 1
    if response.code != 200:
        return
    if key == UNKNOWN_KEY:
        _checks.record_violation(ledger, f"unknown key ran at {node.name}")
    # A version that gives the key back may have come meanwhile.
    elif keys.withdrawn.get(key) == withdrawn_at:
        late_s = sent_at - withdrawn_at
        if late_s > REVOKE_S:
            _checks.record_violation(
                ledger, f"{key} ran at {node.name} after {late_s:.1f} s"
            )
