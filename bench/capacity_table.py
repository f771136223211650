"""Computes the table of docs/CAPACITY.md from measured slopes."""

import typing

BEGIN = "<!-- table: python -m bench capacity -->"
END = "<!-- end of table -->"
# The fleet to design for, and what of it falls on one daemon (rates are per second).
BACKEND_SERVERS = 9600
SERVICES = 260
CALLS_PER_SECOND = 530_000
CHANGES_PER_DAY = 3000
DAY_SECONDS = 86_400
# Instances of a service.
SERVICE_SIZE = BACKEND_SERVERS / SERVICES
CALLS_PER_DAEMON = CALLS_PER_SECOND / BACKEND_SERVERS
CALLED_SERVICES = 9
# A daemon gets the publications of its service and of each called service.
CHANGES_PER_DAEMON = CHANGES_PER_DAY / DAY_SECONDS / SERVICES * (1 + CALLED_SERVICES)
KEYS_PER_DAEMON = 20_000
# Limits of one daemon; control traffic is in bytes per second.
CPU_LIMIT_CORES = 0.044
MEMORY_LIMIT_BYTES = 64e6
CONTROL_LIMIT_BYTES = 3000.0
# Of all daemons together.
PLATFORM_READS_PER_SECOND = 1000.0


class Row(typing.NamedTuple):
    """One line of the table: a cost at the size to design for, and its limit.

    ``arithmetic`` shows how ``value`` follows from a slope. ``limit`` is ``None``
    where none is set; both numbers are in ``unit``.
    """

    role: str
    quantity: str
    arithmetic: str
    value: float
    limit: float | None
    unit: str


def compute_rows(slopes):
    """Return the table's rows.

    :param slopes: the fields of each ``cost_slopes.Slope``, as dictionaries.
    """
    by_name = {(line["quantity"], line["over"]): line for line in slopes}

    def evaluate(quantity, over, size):
        line = by_name[quantity, over]
        return line["slope"] * size + line["intercept"], line

    rows = []
    for quantity, limit, unit in (
        ("cpu", CPU_LIMIT_CORES, "cores"),
        ("messages", None, "a second"),
        ("control_bytes", CONTROL_LIMIT_BYTES, "B/s"),
        ("memory", MEMORY_LIMIT_BYTES, "B"),
    ):
        value, line = evaluate(quantity, "instances", SERVICE_SIZE)
        text = f"{line['intercept']:.4g} + {line['slope']:.4g} x {SERVICE_SIZE:.1f}"
        rows.append(Row("any, control", quantity, text, value, limit, unit))
    value, line = evaluate("cpu", "publications a second", CHANGES_PER_DAEMON)
    value = line["slope"] * CHANGES_PER_DAEMON
    text = f"{line['slope']:.4g} x {CHANGES_PER_DAEMON:.2g} publications/s"
    rows.append(Row("any, values", "cpu", text, value, CPU_LIMIT_CORES, "cores"))
    line = by_name["memory", "keys"]
    text = f"{line['slope']:.4g} x {KEYS_PER_DAEMON}"
    rows.append(
        Row(
            "owner and witness",
            "memory",
            text,
            line["slope"] * KEYS_PER_DAEMON,
            None,
            "B",
        )
    )
    line = by_name["cpu", "calls a second"]
    text = f"{line['slope']:.4g} x {CALLS_PER_DAEMON:.1f} calls/s"
    rows.append(
        Row(
            "entry, calls",
            "cpu",
            text,
            line["slope"] * CALLS_PER_DAEMON,
            None,
            "cores",
        )
    )
    text = f"at most {PLATFORM_READS_PER_SECOND:g} / {BACKEND_SERVERS}"
    rows.append(
        Row(
            "any",
            "platform reads",
            text,
            PLATFORM_READS_PER_SECOND / BACKEND_SERVERS,
            2000 / BACKEND_SERVERS,
            "a second",
        )
    )
    return rows


def format_rows(rows):
    """Return the rows as a Markdown table."""
    lines = [
        "| role | quantity | arithmetic | at the size | limit | verdict |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        limit = "-" if row.limit is None else f"{row.limit:.4g} {row.unit}"
        lines.append(
            f"| {row.role} | {row.quantity} | {row.arithmetic} "
            f"| {row.value:.4g} {row.unit} | {limit} | {_format_verdict(row)} |"
        )
    return lines


def update(page, slopes):
    """Replace the table between the marks of a page by the one of ``slopes``."""
    text = page.read_text()
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    table = "\n".join(format_rows(compute_rows(slopes)))
    page.write_text(f"{head}{BEGIN}\n\n{table}\n\n{END}{tail}")


def _format_verdict(row):
    if row.limit is None:
        return "no limit set"
    if row.value <= row.limit:
        return "within"
    return f"missed by a factor of {row.value / row.limit:.2f}"
