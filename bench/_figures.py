"""Figures: arithmetic, the printed table and the JSON lines."""

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
        What was measured; None if nothing was.
    unit : str
        Its unit.
    baselines : dict of str to float
        The same measured for others in the same run.
    target : float or None
        The goal; None for a figure without one.
    higher_is_better : bool
        Whether the target is a lower bound.
    command : str
        What measures it alone.
    points : list
        The single measurements, or points of a curve.
    spread : list of float
        Smallest and largest single measurement.
    load : float
        Load average of the machine over the last minute.
    note : str
        How it was counted, or what limits it.
    brief : bool
        Whether the table has one line for it and its baselines.
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
    """Return the smallest value that `q` percent do not exceed.

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
    """Return the quotient; infinity for a quotient by 0, 1 for 0 by 0."""
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


def from_tries(
    name: str, tries: list[float], unit: str, **fields: typing.Any
) -> Figure:
    """Return the median of several tries, with their spread."""
    return Figure(
        name=name,
        ours=statistics.median(tries) if tries else None,
        unit=unit,
        points=[round(each, 4) for each in tries],
        spread=[round(min(tries), 4), round(max(tries), 4)] if tries else [],
        **fields,
    )


def to_line(figure: Figure) -> str:
    """Return a figure as one line of JSON."""
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
    """Write a file of JSON lines."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("".join(to_line(each) + "\n" for each in figures))


def render(figure: Figure) -> str:
    """Return the table row of a figure, with bars for its baselines."""
    if figure.brief:
        others = "".join(
            f" {name} {_number(value)}"
            for name, value in figure.baselines.items()
        )
        return (
            f"{figure.name:38}{_number(figure.ours):>10} {figure.unit:10}"
            f"{others}"
        )
    mark = {"met": "ok", "missed": "MISSED", "": ""}[verdict(figure)]
    goal = ""
    if figure.target is not None:
        sign = ">=" if figure.higher_is_better else "<="
        goal = f"{sign} {figure.target:g}"
    scale = max(
        [_size(figure.ours), _size(figure.target)]
        + [_size(each) for each in figure.baselines.values()]
    )
    rows = [
        f"{figure.name:38}{_number(figure.ours):>10} {figure.unit:10}"
        f"{goal:>11} {mark:7}|{_bar(figure.ours, scale)}"
    ]
    rows += [
        f"{'  ' + name:38}{_number(value):>10} {figure.unit:10}"
        f"{'':19}|{_bar(value, scale)}"
        for name, value in figure.baselines.items()
    ]
    if figure.note:
        rows.append(f"    {figure.note}")
    return "\n".join(rows)


def _finite(value: float | None) -> float | None:
    """Return a value that JSON can hold."""
    if value is None or not math.isfinite(value):
        return None
    return float(f"{value:.6g}")


def _size(value: float | None) -> float:
    return _finite(value) or 0.0


def _number(value: float | None) -> str:
    if value is None:
        return "-"
    if abs(value) >= 100:
        return f"{value:.0f}"
    return f"{value:.3g}"


def _bar(value: float | None, scale: float) -> str:
    if not scale:
        return ""
    return "#" * round(BAR_WIDTH * _size(value) / scale)
