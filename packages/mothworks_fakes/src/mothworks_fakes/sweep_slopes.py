"""Converts the table of a sweep to slopes.

A sweep runs one deployment at several sizes. ``python -m
mothworks_fakes.sweep_slopes TABLE --deployment NAME --conditions TEXT`` replaces
the slopes of that deployment in the slope file. The table has one row per quantity
and one cell per size, which holds the values of the middle and the busiest VM.
"""

import collections.abc
import datetime
import math
import pathlib
import re

import attrs
import defopt
import orjson
import result

from mothworks_fakes import slopes

SLOPE_FILE = pathlib.Path("docs/slopes/sweep.json")
#: The two VMs of a cell, in its order; each is also a field of Point.
VM_FIELDS = ("middle", "busiest")
#: Matches the space between two columns of a table, and a cell with its two values.
COLUMN_GAP = re.compile(r"\s{2,}")
CELL = re.compile(r"([\d.]+) / ([\d.]+)")
#: Unit of a quantity by the ending of its name.
UNIT_BY_ENDING = {
    " %": "%",
    " MB": "MB",
    ", ms": "ms",
    "kB a second": "kB/s",
    "a second": "1/s",
}


@attrs.frozen
class Point:
    """One cell of a table.

    :param quantity: the measured quantity.
    :param vms: number of VMs.
    :param middle: the value of the VM in the middle.
    :param busiest: the value of the busiest VM.
    """

    quantity: str
    vms: int
    middle: float
    busiest: float


def read(text: str) -> result.Result[list[Point], str]:
    """Parse a table.

    :param text: output of a sweep.
    :returns: the cells of its table, or an error if there are none.
    """
    lines = iter(text.splitlines())
    sizes: list[int] = []
    for line in lines:
        if line.startswith("middle / busiest"):
            # The columns from "power" on are computed, one of them for a size that
            # was not run.
            sizes_text = next(lines, "").partition("power")[0]
            sizes = [int(item) for item in sizes_text.split()]
            break
    points = [point for line in lines for point in _parse_row(line, sizes)]
    return result.Ok(points) if points else result.Err("no table of a sweep")


def slopes_of(
    points: collections.abc.Iterable[Point], deployment: str, conditions: str
) -> list[slopes.Slope]:
    """Return the cells of a table as slopes.

    :param points: the cells.
    :param deployment: name of the deployment.
    :param conditions: what ran at the same time, and how the sweep ended.
    """
    today = datetime.date.today().isoformat()
    return [
        slopes.Slope(
            slope_name(deployment, point.quantity, vm, point.vms),
            getattr(point, vm),
            _unit(point.quantity),
            f"fleetbench sweep, {deployment}",
            today,
            conditions,
        )
        for point in points
        for vm in VM_FIELDS
    ]


def slope_name(deployment: str, quantity: str, vm: str, vms: int) -> str:
    """Return the name of a slope.

    :param deployment: name of the deployment.
    :param quantity: the measured quantity.
    :param vm: ``middle`` or ``busiest``.
    :param vms: number of VMs.
    """
    return f"sweep {deployment}, {quantity}, {vm} VM, {vms} VMs"


def power(smaller: Point, larger: Point) -> float:
    """Return the exponent p if the busiest VM's value grows as vms ** p.

    It is 0 where a value is 0, as no exponent is defined then.

    :param smaller: a cell.
    :param larger: a cell of the same quantity with more VMs.
    """
    if smaller.busiest <= 0 or larger.busiest <= 0:
        return 0.0
    log_growth = math.log(larger.busiest / smaller.busiest)
    return log_growth / math.log(larger.vms / smaller.vms)


def write(table: pathlib.Path, *, deployment: str, conditions: str) -> int:
    """Write the slopes of a table to the slope file.

    :param table: file with the output of a sweep.
    :param deployment: name of the deployment.
    :param conditions: what ran at the same time, and how the sweep ended.
    """
    match read(table.read_text(encoding="utf-8")):
        case result.Err(reason):
            print(f"{table}: {reason}")
            return 1
        case result.Ok(points):
            old_rows = (
                orjson.loads(SLOPE_FILE.read_bytes()) if SLOPE_FILE.exists() else []
            )
            prefix = f"sweep {deployment}, "
            kept_rows = [row for row in old_rows if not row["name"].startswith(prefix)]
            new_slopes = slopes_of(points, deployment, conditions)
            rows = kept_rows + [attrs.asdict(slope) for slope in new_slopes]
            SLOPE_FILE.write_bytes(
                orjson.dumps(rows, option=orjson.OPT_INDENT_2) + b"\n"
            )
    return 0


def _parse_row(line: str, sizes: list[int]) -> list[Point]:
    label, *cells = COLUMN_GAP.split(line.strip())
    quantity = label.rpartition(": ")[2]
    matches = [CELL.fullmatch(cell) for cell in cells[: len(sizes)]]
    if not sizes or not matches or not all(matches):
        return []
    return [
        Point(quantity, vms, float(match[1]), float(match[2]))
        for vms, match in zip(sizes, matches, strict=False)
    ]


def _unit(quantity: str) -> str:
    for ending, unit in UNIT_BY_ENDING.items():
        if quantity.endswith(ending):
            return unit
    return "count"


if __name__ == "__main__":
    raise SystemExit(defopt.run(write))
