"""Names of shards, and which shard decides about what."""

import xxhash

REQUESTS_PREFIX = "requests/"
POOL_PREFIX = "workers/"


def request_shard(service: str, request_id: str, shards: int) -> str:
    """Return the shard that decides about a request.

    Parameters
    ----------
    service : str
        Service of the request.
    request_id : str
        The caller's id; the same id always leads to the same shard.
    shards : int
        Number of shards of the service.
    """
    return f"{REQUESTS_PREFIX}{service}/{_slot(request_id, shards)}"


def target_shard(service: str, target_id: str, shards: int) -> str:
    """Return the shard that owns a target."""
    return request_shard(service, target_id, shards)


def service_shards(service: str, shards: int) -> list[str]:
    """Return the names of all shards of a service."""
    return [f"{REQUESTS_PREFIX}{service}/{each}" for each in range(shards)]


def pool_shard(key: str, pools: int) -> str:
    """Return the pool that decides about a job or owns a worker."""
    return f"{POOL_PREFIX}{_slot(key, pools)}"


def pool_shards(pools: int) -> list[str]:
    """Return the names of all pools."""
    return [f"{POOL_PREFIX}{each}" for each in range(pools)]


def service_of(shard: str) -> str:
    """Return the service of a request shard."""
    return shard.removeprefix(REQUESTS_PREFIX).rpartition("/")[0]


def is_pool(shard: str) -> bool:
    """Return whether a shard is a pool of workers."""
    return shard.startswith(POOL_PREFIX)


def _slot(key: str, count: int) -> int:
    return xxhash.xxh64_intdigest(key.encode()) % count
