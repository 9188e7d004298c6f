"""Figures: statistics, the printed table and the JSON lines."""

import collections.abc
import json
import math
import os
import pathlib
import statistics
import typing

import attrs

BAR_WIDTH = 24


@attrs.define(kw_only=True)
class Figure:
    """One measured figure.

    Attributes
    ----------
    name : str
        Name of the figure.
    ours : float or None
        Measured value; None if the measurement gave none.
    unit : str
        Unit of the value.
    baselines : dict of str to float
        Values of the alternatives, measured in the same run.
    target : float or None
        Value to reach; None for a figure without a target.
    higher_is_better : bool
        Whether the target is a lower bound.
    command : str
        Command that measures this figure.
    points : list
        Individual measurements, or points of a curve.
    spread : list of float
        Smallest and largest individual measurement.
    load : float
        Load average of the machine over the last minute.
    note : str
        How the value was determined, or what limits it.
    brief : bool
        Whether the table prints the figure and its baselines in one line.
    """

    name: str
    ours: float | None
    unit: str
    baselines: dict[str, float] = attrs.Factory(dict)
    target: float | None = None
    higher_is_better: bool = False
    command: str = "python -m bench"
    points: list[typing.Any] = attrs.Factory(list)
    spread: list[float] = attrs.Factory(list)
    load: float = attrs.Factory(lambda: os.getloadavg()[0])
    note: str = ""
    brief: bool = False


def percentile(values: collections.abc.Collection[float], q: float) -> float:
    """Return the smallest value that `q` percent of values do not exceed.

    Raises
    ------
    ValueError
        There are no values.
    """
    if not values:
        raise ValueError("no values")
    ordered = sorted(values)
    return ordered[max(0, math.ceil(len(ordered) * q / 100) - 1)]


def ratio(numerator: float, denominator: float) -> float:
    """Return the quotient; infinity for division by 0, 1 for 0 by 0."""
    if denominator:
        return numerator / denominator
    return math.inf if numerator else 1.0


def slope(points: collections.abc.Sequence[tuple[float, float]]) -> float:
    """Return the slope of the least-squares line through points."""
    xs = [x for x, _y in points]
    ys = [y for _x, y in points]
    return statistics.linear_regression(xs, ys).slope


def growth(points: collections.abc.Sequence[tuple[float, float]]) -> float:
    """Return the exponent k of the power law y ~ x^k through points."""
    return slope([(math.log(x), math.log(y)) for x, y in points])


def verdict(figure: Figure) -> str:
    """Return ``met``, ``missed``, or an empty string without a target."""
    if figure.target is None:
        return ""
    if figure.ours is None or math.isnan(figure.ours):
        return "missed"
    if figure.higher_is_better:
        return "met" if figure.ours >= figure.target else "missed"
    return "met" if figure.ours <= figure.target else "missed"


def from_samples(
    name: str, values: list[float], unit: str, **fields: typing.Any
) -> Figure:
    """Return a figure with the median and the spread of values."""
    return Figure(
        name=name,
        ours=statistics.median(values) if values else None,
        unit=unit,
        points=[round(each, 4) for each in values],
        spread=[round(min(values), 4), round(max(values), 4)]
        if values
        else [],
        **fields,
    )


def to_line(figure: Figure) -> str:
    """Format a figure as one line of JSON."""
    document: dict[str, typing.Any] = {
        "name": figure.name,
        "ours": _finite(figure.ours),
        "baselines": {
            name: _finite(value) for name, value in figure.baselines.items()
        },
        "target": figure.target,
        "unit": figure.unit,
        "command": figure.command,
        "load": round(figure.load, 2),
    }
    if figure.target is not None:
        document["verdict"] = verdict(figure)
    for field in ("points", "spread", "note"):
        if getattr(figure, field):
            document[field] = getattr(figure, field)
    return json.dumps(document)


def write_lines(
    path: pathlib.Path, figures: collections.abc.Iterable[Figure]
) -> None:
    """Write figures to a file of JSON lines."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("".join(to_line(each) + "\n" for each in figures))


def render(figure: Figure) -> str:
    """Format the table rows of a figure, with bars for its values."""
    if figure.brief:
        others = "".join(
            f" {name} {_format(value)}"
            for name, value in figure.baselines.items()
        )
        return (
            f"{figure.name:38}{_format(figure.ours):>10} {figure.unit:10}"
            f"{others}"
        )
    mark = {"met": "ok", "missed": "MISSED", "": ""}[verdict(figure)]
    target_text = ""
    if figure.target is not None:
        sign = ">=" if figure.higher_is_better else "<="
        target_text = f"{sign} {figure.target:g}"
    scale = max(
        [_finite_or_zero(figure.ours), _finite_or_zero(figure.target)]
        + [_finite_or_zero(each) for each in figure.baselines.values()]
    )
    rows = [
        f"{figure.name:38}{_format(figure.ours):>10} {figure.unit:10}"
        f"{target_text:>11} {mark:7}|{_bar(figure.ours, scale)}"
    ]
    rows += [
        f"{'  ' + name:38}{_format(value):>10} {figure.unit:10}"
        f"{'':19}|{_bar(value, scale)}"
        for name, value in figure.baselines.items()
    ]
    if figure.note:
        rows.append(f"    {figure.note}")
    return "\n".join(rows)


def _finite(value: float | None) -> float | None:
    """Round a value for JSON; return None if it is not finite."""
    if value is None or not math.isfinite(value):
        return None
    return float(f"{value:.6g}")


def _finite_or_zero(value: float | None) -> float:
    return _finite(value) or 0.0


def _format(value: float | None) -> str:
    if value is None:
        return "-"
    if abs(value) >= 100:
        return f"{value:.0f}"
    return f"{value:.3g}"


def _bar(value: float | None, scale: float) -> str:
    if not scale:
        return ""
    return "#" * round(BAR_WIDTH * _finite_or_zero(value) / scale)
