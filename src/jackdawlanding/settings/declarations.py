"""Declaration files: what a service's work is worth and how it leaves.

A file is read whole and every fault in it is reported, not only the first.
"""

import tomllib
import typing

import expression
import msgspec

from jackdawlanding import exceptions
from jackdawlanding.decisions import works

MAXIMUM_RANK = works.LOWEST_RANK
MAXIMUM_CALLS = 64


class Limit(typing.NamedTuple):
    """Bounds of the concurrency limit and of the queue, in calls."""

    minimum: int = 2
    maximum: int = 64
    queue: int = 128


class Leaving(typing.NamedTuple):
    """How the service leaves: seconds that calls in flight are given."""

    grace_seconds: float = 20.0


class Caller(typing.NamedTuple):
    """Where the caller's identity is found; its address where ''."""

    header: str = ""


class Declaration(typing.NamedTuple):
    """One service's declaration, checked."""

    service: str
    work: tuple[works.Work, ...]
    calls: tuple[str, ...] = ()
    retry_allowance: int = 2
    limit: Limit = Limit()
    leaving: Leaving = Leaving()
    caller: Caller = Caller()

    def find_work(self, *, method, target):
        """Return the work that covers a call; undeclared work is least urgent."""
        found = works.match(self.work, method=method, target=target)
        return found or works.make_undeclared(method=method, path=target)


class Fault(typing.NamedTuple):
    """One fault: the file, the key in it, the problem and the remedy."""

    file: str
    key: str
    problem: str
    remedy: str

    def format(self):
        """Return the fault in one line."""
        return f"{self.file}: {self.key}: {self.problem}; {self.remedy}"


class _Collector:
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
    collector = _Collector(file=file)
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        collector.add("syntax", str(error), "mend the TOML at that line")
        return expression.Error(tuple(collector.faults))
    return convert(raw, collector=collector)


def convert(raw, *, collector=None, file="<declaration>"):
    """Convert plain data to a checked declaration; see :func:`parse`."""
    collector = collector or _Collector(file=file)
    declaration = _convert_table(raw, Declaration, "", collector)
    if declaration is not None:
        _check(declaration, collector)
    if collector.faults:
        return expression.Error(tuple(collector.faults))
    return expression.Ok(declaration)


def dump(declaration):
    """Return a declaration as plain data, which :func:`convert` reads back."""
    raw = declaration._asdict()
    for name, value in raw.items():
        if hasattr(value, "_asdict"):
            raw[name] = value._asdict()
    raw["work"] = [one._asdict() for one in declaration.work]
    raw["calls"] = list(declaration.calls)
    return raw


def _convert_table(raw, kind, prefix, collector):
    """Convert a table to a NamedTuple; collect faults of all its keys."""
    hints = typing.get_type_hints(kind)
    if not isinstance(raw, dict):
        collector.add(prefix or "file", "is no table", "write it as a table")
        return None
    for name in raw:
        if name not in hints:
            hint = exceptions.suggest(name, hints)
            collector.add(f"{prefix}{name}", f"is not known{hint}", "remove it")
    before = len(collector.faults)
    values = {}
    for name, hint in hints.items():
        if name in raw:
            key = f"{prefix}{name}"
            values[name] = _convert_value(raw[name], hint, key, collector)
        elif name not in kind._field_defaults:
            collector.add(f"{prefix}{name}", "is missing", "add it")
    return kind(**values) if len(collector.faults) == before else None


def _convert_value(value, hint, key, collector):
    if hint == tuple[works.Work, ...]:
        return _convert_work(value, key, collector)
    if hasattr(hint, "_fields"):
        return _convert_table(value, hint, f"{key}.", collector)
    try:
        return msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        collector.add(key, str(error), f"give a value of type {hint}")
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
            collector.add(key, f"name {work.name!r} stands twice", "rename one")
        names.add(work.name)
        for broken, field, problem, remedy in _list_work_rules(work):
            if broken:
                collector.add(f"{key}.{field}", problem, remedy)
    _check_ranks(declaration, collector)


def _check_service(declaration, collector):
    limit = declaration.limit
    rules = (
        (
            not declaration.service or not declaration.service.isascii(),
            "service",
            f"{declaration.service!r} is no service name",
            "use ASCII letters and dashes",
        ),
        (
            len(declaration.calls) > MAXIMUM_CALLS,
            "calls",
            f"names {len(declaration.calls)} services",
            f"name {MAXIMUM_CALLS} at most",
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
            f"{limit.queue} is too short",
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
            f"{declaration.retry_allowance} is out of bounds",
            "use 0 to 16",
        ),
    )
    for broken, key, problem, remedy in rules:
        if broken:
            collector.add(key, problem, remedy)


def _list_work_rules(work):
    return (
        (
            not 0 <= work.rank <= MAXIMUM_RANK,
            "rank",
            f"{work.rank} is out of bounds",
            f"use 0 (most urgent) to {MAXIMUM_RANK}",
        ),
        (
            not work.path.startswith("/"),
            "path",
            f"{work.path!r} does not start with '/'",
            "write the whole path",
        ),
        (
            work.once_only and work.repeatable,
            "repeatable",
            "clashes with once_only",
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
            f"{work.floor} is out of bounds",
            "use 0 to less than 1",
        ),
        (
            work.floor > 0 and work.protected,
            "floor",
            "protected work has no floor",
            "remove it",
        ),
    )


def _check_ranks(declaration, collector):
    protected = [one.rank for one in declaration.work if one.protected]
    others = [one.rank for one in declaration.work if not one.protected]
    if protected and others and max(protected) >= min(others):
        collector.add(
            "work",
            f"protected rank {max(protected)} is not above rank {min(others)}",
            "give protected work the smaller ranks",
        )
    floors = sum(one.floor for one in declaration.work)
    if floors >= 1:
        collector.add("work", f"floors add up to {floors:g}", "keep them below 1")
