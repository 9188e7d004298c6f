"""A session whose store is a stand-in served by the test."""

import collections.abc

from chestnuttide.node import _peers
from chestnuttide.node import _session
from chestnuttide.node import _settings
from chestnuttide import platform


def make_session(
    address: str,
    *,
    timeout_s: float,
    count: collections.abc.Callable[[str, str], None],
) -> _session.Session:
    """Return the session of the instance ``a``, without peers.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    timeout_s : float
        Timeout of a call to the store, in seconds.
    count : function
        Called with the kind and the outcome of each call to the store.
    """
    return _session.Session(
        settings=_settings.NodeSettings(
            instance="a",
            data_centre="d",
            ip="127.0.0.1",
            listen=_settings.Listen(callers="", readiness=""),
            mesh_ports=(1, 1),
            store=_settings.StoreSettings(address=address),
        ),
        store=platform.KvStore(
            http=platform.make_client(max_clients=10),
            address=address,
            timeout_s=timeout_s,
            count=count,
        ),
        peers=_peers.make_peers(instance="a", data_centre="d"),
        count_unreadable=lambda kind: None,
    )
