"""Client of the platform's instance list."""

import typing

from chestnuttide import errors
from chestnuttide.platform import _http
from chestnuttide.platform import _instance_list_wire
from chestnuttide.platform import _ports

# A daemon makes one poll at a time.
MAX_CLIENTS: typing.Final[int] = 4


def make_instance_list(
    *,
    address: str,
    timeout_s: float,
    http_client: _http.HttpClient | None = None,
) -> _ports.InstanceList:
    """Return a client for the instance list at an address.

    Parameters
    ----------
    address : str
        ``ip:port`` of the list.
    timeout_s : float
        Timeout of a call in seconds.
    http_client : HttpClient, optional
        Client to use instead of a new one.

    Returns
    -------
    InstanceList
        The client. A malformed response or any status other than 200 raises
        `errors.PlatformError`.
    """
    client = http_client or _http.make_client(max_clients=MAX_CLIENTS)

    async def changes(
        after_revision: int, kind: str
    ) -> _ports.InstanceChanges:
        path = _instance_list_wire.encode_query(after_revision, kind)
        reply = await _http.fetch(
            client,
            url=f"http://{address}{path}",
            timeout_s=timeout_s,
            resend=True,
        )
        if reply.status != 200:
            raise errors.PlatformError(
                message=f"The instance list returned status {reply.status}.",
                remedy="Keep the last list and poll again.",
                sent=True,
            )
        try:
            return _instance_list_wire.decode_changes(reply.body)
        except errors.ProtocolError as error:
            raise errors.PlatformError(
                message=error.message, remedy=error.remedy, sent=True
            ) from error

    return _ports.InstanceList(changes=changes)
