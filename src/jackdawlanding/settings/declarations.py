"""Parses and checks declaration files, which describe the work of a service.

All faults of a file are reported at once, not only the first.
"""

import tomllib
import typing

import expression
import msgspec

from jackdawlanding import exceptions
from jackdawlanding.decisions import works

MAXIMUM_RANK = works.LOWEST_RANK
MAXIMUM_CALLED_SERVICES = 64


class Limit(typing.NamedTuple):
    """The range of the concurrency limit and the longest queue, in calls."""

    minimum: int = 2
    maximum: int = 64
    queue: int = 128


class Leaving(typing.NamedTuple):
    """How the service shuts down: the seconds that calls in flight may still take."""

    grace_seconds: float = 20.0


class Caller(typing.NamedTuple):
    """The header that identifies the caller; if empty, its address does."""

    header: str = ""


class Declaration(typing.NamedTuple):
    """The checked declaration of one service.

    ``calls`` names the services that it calls, and ``retry_allowance`` is the
    number of retries that a call tree may make, 0 to 16.
    """

    service: str
    work: tuple[works.Work, ...]
    calls: tuple[str, ...] = ()
    retry_allowance: int = 2
    limit: Limit = Limit()
    leaving: Leaving = Leaving()
    caller: Caller = Caller()

    def find_work(self, *, method, target):
        """Return the work that covers a call.

        A call that no declaration covers gets undeclared work of the least
        urgent rank.
        """
        declared_work = works.match(self.work, method=method, target=target)
        return declared_work or works.make_undeclared(method=method, path=target)


class Fault(typing.NamedTuple):
    """A fault in a file: the key that it concerns, the problem and the remedy."""

    file: str
    key: str
    problem: str
    remedy: str

    def format(self):
        """Return the fault as one line of text."""
        return f"{self.file}: {self.key}: {self.problem}; {self.remedy}"


class _FaultCollector:
    """Collects the faults of one file."""

    def __init__(self, *, file):
        self.file = file
        self.faults = []

    def add(self, key, problem, remedy):
        self.faults.append(
            Fault(file=self.file, key=key, problem=problem, remedy=remedy)
        )


def parse(text, *, file="<declaration>"):
    """Parse a declaration's TOML text.

    :returns: ``expression.Ok(Declaration)`` or ``expression.Error(faults)``.
    """
    collector = _FaultCollector(file=file)
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        collector.add("syntax", str(error), "correct the TOML at that line")
        return expression.Error(tuple(collector.faults))
    return convert(raw, collector=collector)


def convert(raw, *, collector=None, file="<declaration>"):
    """Return the checked declaration that plain data describes; see :func:`parse`.

    :param collector: collects the faults; made for ``file`` by default.
    """
    collector = collector or _FaultCollector(file=file)
    declaration = _convert_table(raw, Declaration, "", collector)
    if declaration is not None:
        _check(declaration, collector)
    if collector.faults:
        return expression.Error(tuple(collector.faults))
    return expression.Ok(declaration)


def dump(declaration):
    """Return a declaration as plain data, the reverse of :func:`convert`."""
    raw = declaration._asdict()
    for name, value in raw.items():
        if hasattr(value, "_asdict"):
            raw[name] = value._asdict()
    raw["work"] = [work._asdict() for work in declaration.work]
    raw["calls"] = list(declaration.calls)
    return raw


def _convert_table(raw, table_class, prefix, collector):
    """Return a table as a NamedTuple; collect the faults of all its keys."""
    field_types = typing.get_type_hints(table_class)
    if not isinstance(raw, dict):
        collector.add(prefix or "file", "is not a table", "write it as a table")
        return None
    for name in raw:
        if name not in field_types:
            suggestion = exceptions.suggest(name, field_types)
            collector.add(f"{prefix}{name}", f"is unknown{suggestion}", "remove it")
    earlier_faults = len(collector.faults)
    values = {}
    for name, field_type in field_types.items():
        if name in raw:
            key = f"{prefix}{name}"
            values[name] = _convert_value(raw[name], field_type, key, collector)
        elif name not in table_class._field_defaults:
            collector.add(f"{prefix}{name}", "is missing", "add it")
    return table_class(**values) if len(collector.faults) == earlier_faults else None


def _convert_value(value, field_type, key, collector):
    if field_type == tuple[works.Work, ...]:
        return _convert_work(value, key, collector)
    if hasattr(field_type, "_fields"):
        return _convert_table(value, field_type, f"{key}.", collector)
    try:
        return msgspec.convert(value, field_type)
    except msgspec.ValidationError as error:
        collector.add(key, str(error), f"give a value of type {field_type}")
        return None


def _convert_work(value, key, collector):
    if not isinstance(value, list) or not value:
        collector.add(key, "holds no work", "add a [[work]] table")
        return None
    return tuple(
        _convert_table(item, works.Work, f"{key}[{index}].", collector)
        for index, item in enumerate(value)
    )


def _check(declaration, collector):
    _check_service(declaration, collector)
    names = set()
    for index, work in enumerate(declaration.work):
        key = f"work[{index}]"
        if work.name in names:
            collector.add(
                key, f"name {work.name!r} is used twice", "rename one of them"
            )
        names.add(work.name)
        for is_broken, field, problem, remedy in _list_work_rules(work):
            if is_broken:
                collector.add(f"{key}.{field}", problem, remedy)
    _check_ranks(declaration, collector)


def _check_service(declaration, collector):
    limit = declaration.limit
    rules = (
        (
            not declaration.service or not declaration.service.isascii(),
            "service",
            f"{declaration.service!r} is not a valid service name",
            "use ASCII letters and dashes",
        ),
        (
            len(declaration.calls) > MAXIMUM_CALLED_SERVICES,
            "calls",
            f"names {len(declaration.calls)} services",
            f"name {MAXIMUM_CALLED_SERVICES} at most",
        ),
        (
            not 1 <= limit.minimum <= limit.maximum,
            "limit",
            f"minimum {limit.minimum} and maximum {limit.maximum} clash",
            "use 1 <= minimum <= maximum",
        ),
        (
            limit.queue < 1,
            "limit.queue",
            f"{limit.queue} is too small",
            "use 1 or more",
        ),
        (
            declaration.leaving.grace_seconds <= 0,
            "leaving.grace_seconds",
            "leaves no time for calls in flight",
            "use more than 0",
        ),
        (
            not 0 <= declaration.retry_allowance <= 16,
            "retry_allowance",
            f"{declaration.retry_allowance} is out of range",
            "use 0 to 16",
        ),
    )
    for is_broken, key, problem, remedy in rules:
        if is_broken:
            collector.add(key, problem, remedy)


def _list_work_rules(work):
    """Return ``(is_broken, field, problem, remedy)`` of each rule."""
    return (
        (
            not 0 <= work.rank <= MAXIMUM_RANK,
            "rank",
            f"{work.rank} is out of range",
            f"use 0 (most urgent) to {MAXIMUM_RANK}",
        ),
        (
            not work.path.startswith("/"),
            "path",
            f"{work.path!r} does not start with '/'",
            "start it with '/'",
        ),
        (
            work.once_only and work.repeatable,
            "repeatable",
            "can't be combined with once_only",
            "remove one of them",
        ),
        (
            work.once_only and not work.protected,
            "protected",
            "once_only work must be protected",
            "set protected = true",
        ),
        (
            work.once_only and not work.key_header,
            "key_header",
            "once_only work needs a key",
            "name the header that carries it",
        ),
        (
            work.once_only and work.repeat_horizon_seconds <= 0,
            "repeat_horizon_seconds",
            "must be more than 0",
            "say how long callers may send a key again",
        ),
        (
            work.deadline_seconds <= 0,
            "deadline_seconds",
            "must be more than 0",
            "say how long an answer is worth waiting for",
        ),
        (
            not 0 <= work.floor < 1,
            "floor",
            f"{work.floor} is out of range",
            "use 0 to less than 1",
        ),
        (
            work.floor > 0 and work.protected,
            "floor",
            "can't be combined with protected",
            "remove it",
        ),
    )


def _check_ranks(declaration, collector):
    protected = [work.rank for work in declaration.work if work.protected]
    others = [work.rank for work in declaration.work if not work.protected]
    if protected and others and max(protected) >= min(others):
        collector.add(
            "work",
            f"protected rank {max(protected)} is not more urgent than {min(others)}",
            "give protected work smaller ranks than all other work",
        )
    floors = sum(work.floor for work in declaration.work)
    if floors >= 1:
        collector.add(
            "work", f"floors add up to {floors:g}", "lower them to a sum below 1"
        )
