"""Generates docs/CAPACITY.md from the measured slopes and the target's sizes.

``python -m mothworks_fakes.capacity`` reads ``docs/slopes/*.json``, computes the
cost of each role at the target, and writes the page; a test checks that the page
matches the slopes. A figure without a measurement is shown as "not measured".
"""

import pathlib
import re

import attrs
import defopt
import orjson

from mothworks import documents
from mothworks_fakes import capacity_roles, slopes, sweep_slopes

SLOPES_FOLDER = pathlib.Path("docs/slopes")
PAGE = pathlib.Path("docs/CAPACITY.md")
NOT_MEASURED = "not measured"
#: Number of VMs of the target, and the maximum exponent with which a sweep is
#: extrapolated.
TARGET_VMS = 330
MAX_POWER = 2.0
#: Name of a slope that was measured by a sweep.
SWEEP_SLOPE_NAME = re.compile(r"sweep (\S+), (.+), (middle|busiest) VM, (\d+) VMs")
SWEEPS_INTRO = """\
The value of the VM in the middle and of the busiest one, at the larger of
the last two sizes; the power of the VMs to which the busiest one grows between them;
and what that is at 330 VMs, which was not played. Ten endpoints a VM.
"""


def write(root: pathlib.Path = pathlib.Path(".")) -> None:
    """Write the page.

    :param root: root of the repository.
    """
    (root / PAGE).write_text(render(root), encoding="utf-8")


def sources(page: str) -> tuple[str, ...]:
    """Return the names of the slope files that a page lists as its sources.

    :param page: text of the page.
    """
    return tuple(re.findall(r"[\w-]+\.json", page.partition("Made from")[2][:400]))


def render(root: pathlib.Path, files: tuple[str, ...] | None = None) -> str:
    """Return the text of the page.

    :param root: root of the repository.
    :param files: names of the slope files to use; None for all.
    """
    if files is None:
        files = tuple(
            sorted(path.name for path in (root / SLOPES_FOLDER).glob("*.json"))
        )
    recorded = read([root / SLOPES_FOLDER / name for name in files])
    costs = [Cost(role, recorded) for role in capacity_roles.ROLES]
    sections = (
        _introduction(files),
        _role_table(costs),
        _budget_table(costs),
        _sweep_table(recorded),
        _formula_table(costs),
        _slope_table(recorded),
    )
    return "\n".join(sections)


def read(paths: list[pathlib.Path]) -> list[slopes.Slope]:
    """Return the slopes of some files, sorted by name.

    :param paths: the slope files.
    """
    recorded = []
    for path in paths:
        rows = orjson.loads(path.read_bytes())
        recorded += documents.structure(rows, list[slopes.Slope], str(path)).unwrap()
    return sorted(recorded, key=lambda slope: slope.name)


def find(recorded: list[slopes.Slope], pattern: str) -> slopes.Slope | None:
    """Return the slope whose name matches; of several, that with the most nodes.

    :param recorded: recorded slopes.
    :param pattern: regular expression; its group, if any, captures the number of
        nodes.
    """
    matches = []
    for slope in recorded:
        match = re.fullmatch(pattern, slope.name)
        if match is not None:
            count = int(match.group(1)) if match.groups() else 0
            matches.append((count, slope))
    return max(matches, key=lambda item: item[0], default=(0, None))[1]


@attrs.define
class Cost:
    """Cost of a role at the target.

    :param role: the role.
    :param recorded: recorded slopes.
    """

    role: capacity_roles.Role
    recorded: list[slopes.Slope]

    def value(self, term: capacity_roles.Term) -> float | None:
        """Return a term's value at the target; None if a slope is not measured.

        :param term: one of the role's terms.
        """
        if not term.slope:
            return term.factor
        slope = find(self.recorded, term.slope)
        subtracted = find(self.recorded, term.minus) if term.minus else None
        if slope is None or (term.minus and subtracted is None):
            return None
        value = slope.value - (subtracted.value if subtracted else 0.0)
        return max(0.0, value) * term.factor

    def sum(self, column: capacity_roles.Column) -> float | None:
        """Return the sum of a column's terms; None without terms or measurements.

        :param column: the column.
        """
        values = [self.value(term) for term in self.role.terms if term.column is column]
        if not values or None in values:
            return None
        return sum(values)

    def cell(self, column: capacity_roles.Column) -> str:
        """Return the text of a table cell on the page.

        :param column: the column.
        """
        if not any(term.column is column for term in self.role.terms):
            return "-"
        value = self.sum(column)
        return NOT_MEASURED if value is None else f"{_number(value)} {column.value}"


def _introduction(files: tuple[str, ...]) -> str:
    sizes = "\n".join(f"- {line}" for line in capacity_roles.TARGET_SIZES)
    return f"""# Capacity

Written by `python -m mothworks_fakes.capacity` from `docs/slopes/*.json`; do not
edit. Made from {", ".join(files)}.

Measured on one machine of 12 cores with small stand-ins, while other tests ran;
everything under "At the target" is extrapolated from that by the formulas below.

## The target

{sizes}

A node's share: {capacity_roles.REQUESTS_PER_S_PER_NODE:.1f} requests/s in and out, \
{capacity_roles.ENDPOINTS_PER_NODE:.1f} endpoints owned.
"""


def _role_table(costs: list[Cost]) -> str:
    columns = list(capacity_roles.Column)
    header = ["role", "state", *(column.title for column in columns)]
    header += ["what carries it", "what breaks first"]
    lines = ["## At the target, a node (extrapolated)\n", _table_row(header)]
    lines.append(_table_row(["---"] * len(header)))
    for cost in costs:
        cells = [cost.cell(column) for column in columns]
        role = cost.role
        lines.append(
            _table_row(
                [role.name, role.state, *cells, role.mechanism, role.breaks_first]
            )
        )
    return "\n".join(lines) + "\n"


def _budget_table(costs: list[Cost]) -> str:
    lines = [
        "## Against the budgets\n",
        _table_row(["budget", "at the target", "verdict"]),
    ]
    lines.append(_table_row(["---"] * 3))
    for budget in capacity_roles.BUDGETS:
        values = [_budget_cost(cost, budget) for cost in costs]
        measured = sum(value for value in values if value is not None)
        unmeasured_roles = [
            cost.role.name
            for cost, value in zip(costs, values, strict=True)
            if value is None
        ]
        lines.append(
            _table_row([budget.name, *_verdict(budget, measured, unmeasured_roles)])
        )
    remedies = [f"- **{item.name}**: {item.remedy}" for item in capacity_roles.BUDGETS]
    return (
        "\n".join(lines)
        + "\n\nWhat would close a miss:\n\n"
        + "\n".join(remedies)
        + "\n"
    )


def _sweep_table(recorded: list[slopes.Slope]) -> str:
    """Return the table that extrapolates each sweep from its two largest sizes."""
    header = [
        "deployment",
        "quantity",
        "VMs",
        "middle",
        "busiest",
        "power",
        "at 330 VMs",
    ]
    lines = ["## Sweeps, the whole program\n", SWEEPS_INTRO, _table_row(header)]
    lines.append(_table_row(["---"] * len(header)))
    for (deployment, quantity), points in sorted(_points_by_row(recorded).items()):
        *_, smaller, larger = sorted(points, key=lambda point: point.vms)
        power = sweep_slopes.power(smaller, larger)
        exponent = max(0.0, min(power, MAX_POWER))
        at_target = larger.busiest * (TARGET_VMS / larger.vms) ** exponent
        values = (larger.middle, larger.busiest, power, at_target)
        cells = [deployment, quantity, f"{smaller.vms}, {larger.vms}"]
        lines.append(_table_row([*cells, *map(_number, values)]))
    return "\n".join(lines) + "\n"


def _points_by_row(
    recorded: list[slopes.Slope],
) -> dict[tuple[str, str], list[sweep_slopes.Point]]:
    """Return the cells of all sweeps of two sizes or more.

    :returns: cells by deployment and quantity.
    """
    value_by_cell: dict[tuple[str, str, int], dict[str, float]] = {}
    for slope in recorded:
        match = SWEEP_SLOPE_NAME.fullmatch(slope.name)
        if match is not None:
            deployment, quantity, vm, vms = match.groups()
            cell = value_by_cell.setdefault((deployment, quantity, int(vms)), {})
            cell[vm] = slope.value
    points_by_row: dict[tuple[str, str], list[sweep_slopes.Point]] = {}
    for (deployment, quantity, vms), values in value_by_cell.items():
        point = sweep_slopes.Point(quantity, vms, **values)
        points_by_row.setdefault((deployment, quantity), []).append(point)
    return {row: points for row, points in points_by_row.items() if len(points) > 1}


def _budget_cost(cost: Cost, budget: capacity_roles.Budget) -> float | None:
    """Return a role's cost in a budget.

    It is 0 if the role is excluded or has no term in the budget's column.
    """
    terms = [term for term in cost.role.terms if term.column is budget.column]
    if not terms or cost.role.name in budget.excluded_roles:
        return 0.0
    return cost.sum(budget.column)


def _verdict(
    budget: capacity_roles.Budget, measured: float, unmeasured_roles: list[str]
) -> tuple[str, str]:
    amount = f"{_number(measured)} of {_number(budget.limit)} {budget.column.value}"
    if unmeasured_roles:
        amount += f", without {', '.join(unmeasured_roles)}"
    if measured > budget.limit:
        return amount, f"**missed**, {measured / budget.limit:.1f} times the budget"
    if unmeasured_roles:
        return amount, "open: not all measured"
    return amount, "met in what is measured"


def _formula_table(costs: list[Cost]) -> str:
    lines = ["## Formulas\n", _table_row(["role", "column", "formula", "result"])]
    lines.append(_table_row(["---"] * 4))
    for cost in costs:
        for term in cost.role.terms:
            value = cost.value(term)
            value_text = (
                NOT_MEASURED
                if value is None
                else f"{_number(value)} {term.column.value}"
            )
            lines.append(
                _table_row(
                    [cost.role.name, term.column.title, term.formula, value_text]
                )
            )
    return "\n".join(lines) + "\n"


def _slope_table(recorded: list[slopes.Slope]) -> str:
    header = ["measured", "value", "date", "command", "conditions"]
    lines = [
        "## Measured slopes\n",
        _table_row(header),
        _table_row(["---"] * len(header)),
    ]
    for slope in recorded:
        value = f"{_number(slope.value)} {slope.unit}"
        lines.append(
            _table_row(
                [slope.name, value, slope.date, f"`{slope.command}`", slope.note]
            )
        )
    return "\n".join(lines) + "\n"


def _number(value: float) -> str:
    if value == 0 or abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _table_row(cells: list[str]) -> str:
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"


if __name__ == "__main__":
    defopt.run(write)
