"""Makes the table of docs/CAPACITY.md from measured slopes."""

import typing

BEGIN = "<!-- table: python -m bench capacity -->"
END = "<!-- end of table -->"
UPSTREAMS = 9600
SERVICES = 260
CALLS_A_SECOND = 530_000
CHANGES_A_DAY = 3000
DAY_SECONDS = 86_400
INSTANCES = UPSTREAMS / SERVICES
CALLS = CALLS_A_SECOND / UPSTREAMS
CALLED_SERVICES = 9
CHANGES = CHANGES_A_DAY / DAY_SECONDS / SERVICES * (1 + CALLED_SERVICES)
KEYS = 20_000
CPU_LIMIT = 0.044
MEMORY_LIMIT = 64e6
BYTES_LIMIT = 3000.0
PLATFORM_READS = 1000.0


class Row(typing.NamedTuple):
    """One line of the table: a cost at the size, and its limit."""

    role: str
    quantity: str
    arithmetic: str
    value: float
    limit: float | None
    unit: str


def compute(slopes):
    """Return the rows that follow from measured slopes."""
    by = {(one["quantity"], one["over"]): one for one in slopes}

    def at(quantity, over, size):
        one = by[quantity, over]
        return one["slope"] * size + one["intercept"], one

    rows = []
    for quantity, limit, unit in (
        ("cpu", CPU_LIMIT, "cores"),
        ("messages", None, "a second"),
        ("control_bytes", BYTES_LIMIT, "B/s"),
        ("memory", MEMORY_LIMIT, "B"),
    ):
        value, one = at(quantity, "instances", INSTANCES)
        text = f"{one['intercept']:.4g} + {one['slope']:.4g} x {INSTANCES:.1f}"
        rows.append(Row("any, control", quantity, text, value, limit, unit))
    value, one = at("cpu", "publications a second", CHANGES)
    value = one["slope"] * CHANGES
    text = f"{one['slope']:.4g} x {CHANGES:.2g} publications/s"
    rows.append(Row("any, values", "cpu", text, value, CPU_LIMIT, "cores"))
    one = by["memory", "keys"]
    text = f"{one['slope']:.4g} x {KEYS}"
    rows.append(
        Row("owner and witness", "memory", text, one["slope"] * KEYS, None, "B")
    )
    one = by["cpu", "calls a second"]
    text = f"{one['slope']:.4g} x {CALLS:.1f} calls/s"
    rows.append(Row("entry, calls", "cpu", text, one["slope"] * CALLS, None, "cores"))
    text = f"at most {PLATFORM_READS:g} / {UPSTREAMS}"
    rows.append(
        Row(
            "any",
            "platform reads",
            text,
            PLATFORM_READS / UPSTREAMS,
            2000 / UPSTREAMS,
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
            f"| {row.value:.4g} {row.unit} | {limit} | {_judge(row)} |"
        )
    return lines


def update(page, slopes):
    """Put the table of ``slopes`` into a page, between its marks."""
    text = page.read_text()
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    table = "\n".join(format_rows(compute(slopes)))
    page.write_text(f"{head}{BEGIN}\n\n{table}\n\n{END}{tail}")


def _judge(row):
    if row.limit is None:
        return "no limit set"
    if row.value <= row.limit:
        return "within"
    return f"missed by a factor of {row.value / row.limit:.2f}"
