"""Mesh set-up, config messages and traffic counts of both daemons."""

import json
import random
import uuid

from chestnuttide import config as config_module
from chestnuttide import coordination
from chestnuttide import mesh
from chestnuttide import settings as settings_module
from chestnuttide import telemetry

# Messages of the ownership protocol, which schedulers exchange.
_OWNERSHIP_CLASSES = (
    coordination.PromiseRequest,
    coordination.PromiseReply,
    coordination.ConsentRequest,
    coordination.ConsentReply,
    coordination.VotersProposal,
    coordination.VotersAck,
)


def make_network(
    settings: settings_module.Settings, kind: str
) -> mesh.Network:
    """Return the unconnected mesh of a daemon.

    Parameters
    ----------
    settings : Settings
        The instance's settings.
    kind : str
        ``entry`` or ``scheduler``.
    """
    return mesh.Network(
        hello=mesh.Hello(
            sender=settings.instance_id,
            kind=kind,
            incarnation=uuid.uuid4().hex,
            data_centre=settings.data_centre,
        ),
        codec=mesh.make_codec((*mesh.MESSAGE_CLASSES, *_OWNERSHIP_CLASSES)),
        limits=mesh.Limits(
            queue_messages=settings.mesh.mesh_queue_messages,
            queue_bytes=settings.mesh.mesh_queue_bytes,
        ),
        rng=random.Random(),
    )


def to_config_message(message: object) -> object | None:
    """Return the config filter's input for a mesh message.

    Returns
    -------
    object or None
        None if the message is not about the config.

    Raises
    ------
    errors.ProtocolError
        If the message contains an invalid patch.
    """
    match message:
        case mesh.Heartbeat():
            return config_module.VersionSeen(version=message.config_version)
        case mesh.ConfigPatches():
            entries = tuple(
                config_module.decode_entry(version, value)
                for version, value in message.patches
            )
            return config_module.PatchesReceived(entries=entries)
        case mesh.ConfigSnapshot():
            snapshot = config_module.Snapshot(
                version=message.version, document=json.loads(message.document)
            )
            return config_module.SnapshotReceived(snapshot=snapshot)
        case _:
            return None


def to_patches_message(
    entries: tuple[config_module.PatchEntry, ...],
) -> mesh.ConfigPatches:
    """Return the mesh message that carries config patches."""
    return mesh.ConfigPatches(
        patches=tuple(
            (each.version, config_module.encode_entry(each))
            for each in entries
        )
    )


def count_traffic(
    metrics: telemetry.Metrics, traffic: mesh.Traffic, counted: mesh.Traffic
) -> None:
    """Add the mesh traffic since the last call to the metrics.

    Parameters
    ----------
    metrics : Metrics
        The daemon's metrics.
    traffic : Traffic
        The mesh's current byte counts.
    counted : Traffic
        The byte counts at the last call; updated in place.
    """
    for direction, total, previous in (
        ("sent", traffic.bytes_sent, counted.bytes_sent),
        ("received", traffic.bytes_received, counted.bytes_received),
    ):
        metrics.mesh_bytes.add({"direction": direction}, total - previous)
    counted.bytes_sent = traffic.bytes_sent
    counted.bytes_received = traffic.bytes_received
