"""The versioned configuration of a cell."""

from chestnuttide.config import _document

CellConfig = _document.CellConfig
ClassConfig = _document.ClassConfig
PoolConfig = _document.PoolConfig
ServiceConfig = _document.ServiceConfig
TeamConfig = _document.TeamConfig

__all__ = [
    "CellConfig",
    "ClassConfig",
    "PoolConfig",
    "ServiceConfig",
    "TeamConfig",
]
