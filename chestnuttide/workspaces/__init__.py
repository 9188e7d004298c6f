"""Caps and shares of workspaces: decisions without I/O."""

from chestnuttide.workspaces import _cap_parts
from chestnuttide.workspaces import _caps
from chestnuttide.workspaces import _fair_share
from chestnuttide.workspaces import _quota

Allowance = _caps.Allowance
CapParts = _cap_parts.CapParts
Decision = _cap_parts.Decision
Demand = _cap_parts.Demand
FairShares = _fair_share.FairShares
NOTHING = _caps.NOTHING
Parts = _caps.Parts
PutOff = _caps.PutOff
QuotaState = _quota.QuotaState
Round = _caps.Round
THOUSANDTH = _caps.THOUSANDTH
WHOLE = _caps.WHOLE
acquire = _quota.acquire
age_history = _fair_share.age_history
allows = _quota.allows
could_ever_allow = _quota.could_ever_allow
create_rows = _cap_parts.create_rows
decide = _cap_parts.decide
decode_parts = _cap_parts.decode
demand_of = _cap_parts.demand_of
dominant_share = _fair_share.dominant_share
encode_parts = _cap_parts.encode
entitle = _fair_share.entitle
give = _cap_parts.give
held_by = _cap_parts.held_by
keeps_room = _caps.keeps_room
level = _fair_share.level
limit_of = _caps.limit_of
may_start = _caps.may_start
parts_for = _caps.parts_for
release = _quota.release
rest_of = _cap_parts.rest_of
scale = _caps.scale
take_rest = _cap_parts.take_rest
thousandths = _caps.thousandths
within_rest = _caps.within_rest

__all__ = [
    "Allowance",
    "CapParts",
    "Decision",
    "Demand",
    "FairShares",
    "NOTHING",
    "Parts",
    "PutOff",
    "QuotaState",
    "Round",
    "THOUSANDTH",
    "WHOLE",
    "acquire",
    "age_history",
    "allows",
    "could_ever_allow",
    "create_rows",
    "decide",
    "decode_parts",
    "demand_of",
    "dominant_share",
    "encode_parts",
    "entitle",
    "give",
    "held_by",
    "keeps_room",
    "level",
    "limit_of",
    "may_start",
    "parts_for",
    "release",
    "rest_of",
    "scale",
    "take_rest",
    "thousandths",
    "within_rest",
]
