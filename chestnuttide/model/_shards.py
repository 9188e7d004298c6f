"""Names of shards, and the assignment of requests, jobs and workers."""

import xxhash

REQUESTS_PREFIX = "requests/"
POOL_PREFIX = "workers/"


def request_shard(service: str, request_id: str, shards: int) -> str:
    """Return the shard that handles a request.

    Parameters
    ----------
    service : str
        Service of the request.
    request_id : str
        Id that the caller chose; an id always maps to the same shard.
    shards : int
        Number of shards of the service.
    """
    return f"{REQUESTS_PREFIX}{service}/{_shard_index(request_id, shards)}"


def target_shard(service: str, target_id: str, shards: int) -> str:
    """Return the shard that owns a target."""
    return request_shard(service, target_id, shards)


def service_shards(service: str, shards: int) -> list[str]:
    """Return the names of all shards of a service."""
    return [f"{REQUESTS_PREFIX}{service}/{index}" for index in range(shards)]


def pool_shard(key: str, pools: int) -> str:
    """Return the pool shard that schedules a job or owns a worker."""
    return f"{POOL_PREFIX}{_shard_index(key, pools)}"


def pool_shards(pools: int) -> list[str]:
    """Return the names of all pool shards."""
    return [f"{POOL_PREFIX}{index}" for index in range(pools)]


def service_of(shard: str) -> str:
    """Return the service that a request shard belongs to."""
    return shard.removeprefix(REQUESTS_PREFIX).rpartition("/")[0]


def is_pool(shard: str) -> bool:
    """Return whether a shard is a pool shard."""
    return shard.startswith(POOL_PREFIX)


def _shard_index(key: str, count: int) -> int:
    return xxhash.xxh64_intdigest(key.encode()) % count
