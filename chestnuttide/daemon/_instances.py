"""Polling of the platform's instance list."""

import asyncio
import collections.abc

from chestnuttide import errors
from chestnuttide import model
from chestnuttide import platform
from chestnuttide import settings as settings_module
from chestnuttide import telemetry

# Short, so that a slow reply does not delay the next poll for long.
LIST_TIMEOUT_S = 2.0

LOG = telemetry.make_logger("instances")


async def poll_instances(
    settings: settings_module.Settings,
    kind: str,
    on_changes: collections.abc.Callable[[tuple[model.Instance, ...]], None],
) -> None:
    """Poll the instance list and report its changes; never returns.

    Parameters
    ----------
    settings : Settings
        The instance's settings.
    kind : str
        Kind of instances to request; empty for all.
    on_changes : function
        Called with the changed instances after each poll that found some.
        It is not called while the list is unavailable.
    """
    instances = platform.make_instance_list(
        address=settings.platform.instance_list_address,
        timeout_s=LIST_TIMEOUT_S,
    )
    revision = 0
    answered = True
    while True:
        try:
            changes = await instances.changes(revision, kind)
        except errors.PlatformError as error:
            if answered:
                LOG.warning("the instance list does not answer: %s", error)
            answered = False
        else:
            answered = True
            revision = changes.revision
            if changes.instances:
                on_changes(changes.instances)
        await asyncio.sleep(settings.platform.instance_list_poll_s)


def update_addresses(
    addresses: dict[str, str], instances: tuple[model.Instance, ...]
) -> None:
    """Keep the mesh addresses of entry instances up to date.

    Parameters
    ----------
    addresses : dict of str to str
        Mesh address by instance id; changed in place.
    instances : tuple of Instance
        Changed instances; other kinds are ignored.
    """
    for each in instances:
        if each.kind is not model.InstanceKind.ENTRY:
            continue
        if each.state is model.InstanceState.GONE:
            addresses.pop(each.instance_id, None)
        else:
            addresses[each.instance_id] = each.address
