"""Stored snapshots of learned run times."""

import math

import cbor2

from chestnuttide import errors
from chestnuttide import histograms
from chestnuttide.workloads import _run_times
from chestnuttide.workloads import _worker_speeds

_FORMAT_VERSION = 1

_REMEDY = "Remove it; run times are learned anew."

# Kinds and machines in a snapshot, the latest ones, and its size in bytes. A
# larger one is written with half as many.
MAX_KINDS = 64
MAX_MACHINES = 1000
MAX_BYTES = 32_768

# Bounds of decoded values.
_MAX_TEXT = 1000
_MAX_STEP = 10**6
_MAX_AGE_S = 1e9
_MAX_BUCKETS = 200
_MAX_BUCKET = 400
_MIN_SAMPLES = 1e-6
_MAX_SAMPLES = 1e12
_MAX_LOSS = 1e6

# Weights of buckets are stored in this fraction of a histogram's total.
_WEIGHT_UNITS = 10_000


def encode_run_times(times: _run_times.RunTimes, *, now: float) -> bytes:
    """Encode a snapshot of at most `MAX_BYTES`."""
    kinds = [
        [*key, *_kind_row(kind, now)]
        for key, kind in times.kinds.items()
        if kind.ratios.weights
    ][-MAX_KINDS:]
    machines = [
        [name, round(speed.log_slowness, 3), round(speed.weight, 1)]
        for name, speed in times.speeds.machines.items()
    ][-MAX_MACHINES:]
    far = [
        round(times.speeds.far.log_slowness, 3),
        round(times.speeds.far.weight, 1),
    ]
    while True:
        value = cbor2.dumps([_FORMAT_VERSION, kinds, machines, far])
        if len(value) <= MAX_BYTES:
            return value
        kinds = kinds[(len(kinds) + 1) // 2 :]
        machines = machines[(len(machines) + 1) // 2 :]


def _kind_row(kind: _run_times.Kind, now: float) -> list[object]:
    weights = kind.ratios.weights
    total = sum(weights.values())
    shares = {
        bucket: round(weight / total * _WEIGHT_UNITS)
        for bucket, weight in sorted(weights.items())
    }
    return [
        round(max(0.0, now - kind.updated_at), 1),
        kind.runs,
        [round(loss, 3) for loss in kind.losses],
        # The first task of the widest step counts for 1/20,000.
        round(kind.ratios.samples, 6),
        {bucket: share for bucket, share in shares.items() if share},
    ]


def decode_run_times(value: bytes, *, now: float) -> _run_times.RunTimes:
    """Decode a snapshot; a later release may append fields.

    Raises
    ------
    errors.ProtocolError
        If it cannot be read or holds a value out of bounds.
    """
    with errors.decoding("The snapshot of run times", _REMEDY):
        if len(value) > MAX_BYTES:
            raise ValueError(f"it exceeds {MAX_BYTES} bytes")
        _, kinds, machines, far, *_ = cbor2.loads(value)
        if len(kinds) > MAX_KINDS or len(machines) > MAX_MACHINES:
            raise ValueError("it lists too many kinds or machines")
        return _run_times.RunTimes(
            kinds=dict(_decode_kind(row, now) for row in kinds),
            speeds=_worker_speeds.Speeds(
                machines={
                    _text(name): _decode_speed(log, weight)
                    for name, log, weight, *_ in machines
                },
                far=_decode_speed(*far[:2]),
            ),
        )


def _decode_kind(
    row: list, now: float
) -> tuple[_run_times.KindKey, _run_times.Kind]:
    workspace, queue, step, age_s, runs, losses, samples, weights, *_ = row
    if len(weights) > _MAX_BUCKETS or len(losses) != len(
        _run_times.Kind().losses
    ):
        raise ValueError("a kind has a wrong number of buckets or errors")
    step = int(_number(step, _run_times.ANY_STEP, _MAX_STEP))
    total = sum(_number(each, 0, _WEIGHT_UNITS) for each in weights.values())
    samples = _number(samples, _MIN_SAMPLES, _MAX_SAMPLES)
    if total < 1:
        raise ValueError("a kind has no samples")
    # A histogram that has taken this many samples has this total weight.
    decay = histograms.WEIGHT_DECAY
    scale = (1.0 - decay ** min(samples, 1e6)) / (1.0 - decay) / total
    kind = _run_times.Kind(
        ratios=histograms.Histogram(
            weights={
                int(_number(bucket, -_MAX_BUCKET, _MAX_BUCKET)): weight * scale
                for bucket, weight in weights.items()
                if weight
            },
            samples=samples,
        ),
        losses=[_number(each, 0.0, _MAX_LOSS) for each in losses],
        runs=int(_number(runs, 0, _MAX_SAMPLES)),
        updated_at=now - _number(age_s, 0.0, _MAX_AGE_S),
    )
    return (_text(workspace), _text(queue), step), kind


def _decode_speed(log: object, weight: object) -> _worker_speeds.Speed:
    limit = math.log(_worker_speeds.MAX_SLOWNESS) + 0.01
    return _worker_speeds.Speed(
        log_slowness=_number(log, -limit, limit),
        weight=_number(weight, 0.0, _MAX_SAMPLES),
    )


def _number(value: object, low: float, high: float) -> float:
    if type(value) is not int and type(value) is not float:
        raise TypeError("a value is not a number")
    # NaN compares as false.
    if not low <= value <= high:
        raise ValueError(f"a value is not between {low:g} and {high:g}")
    return value


def _text(value: object) -> str:
    if not isinstance(value, str) or len(value) > _MAX_TEXT:
        raise TypeError(f"a name is not a text of at most {_MAX_TEXT}")
    return value


def adopt_snapshot(
    times: _run_times.RunTimes, stored: _run_times.RunTimes, *, now: float
) -> None:
    """Add what a former owner has learned to what this one knows already."""
    times.kinds = stored.kinds | times.kinds
    times.speeds.machines = stored.speeds.machines | times.speeds.machines
    if not times.speeds.far.weight:
        times.speeds.far = stored.speeds.far
    _run_times.refresh(times, now=now)
