"""The versioned configuration of a cell."""

from chestnuttide.config import _document
from chestnuttide.config import _structure

CellConfig = _document.CellConfig
ClassConfig = _document.ClassConfig
FieldError = _structure.FieldError
PoolConfig = _document.PoolConfig
ServiceConfig = _document.ServiceConfig
TeamConfig = _document.TeamConfig
describe_allowed = _structure.describe_allowed
structure_strictly = _structure.structure_strictly

__all__ = [
    "CellConfig",
    "ClassConfig",
    "FieldError",
    "PoolConfig",
    "ServiceConfig",
    "TeamConfig",
    "describe_allowed",
    "structure_strictly",
]
