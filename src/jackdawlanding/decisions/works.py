"""Declared kinds of work, and how calls are matched to them."""

import typing

UNDECLARED_RANK = 7
LOWEST_RANK = 7


class Work(typing.NamedTuple):
    """A declared kind of work of one service.

    :param method: HTTP method, or ``*`` for all.
    :param path: path of the calls; ``*`` at its end stands for any rest.
    :param rank: 0 is the most urgent, 7 the least.
    :param protected: whether it is never shed while less urgent work is admitted.
    :param once_only: whether it must run at most once for each key.
    :param repeatable: whether it may be retried when its outcome is unknown.
    :param key_header: name of the header that carries the key.
    :param repeat_horizon_seconds: for how long callers may send a key again.
    :param floor: share of unprotected admissions kept for this work, 0 to 1.
    :param cross_region: whether it may go to another region when the local one has
        no room.
    """

    name: str
    method: str
    path: str
    rank: int
    protected: bool = False
    once_only: bool = False
    repeatable: bool = False
    deadline_seconds: float = 5.0
    key_header: str = "Idempotency-Key"
    repeat_horizon_seconds: float = 900.0
    worth: float = 1.0
    floor: float = 0.0
    cross_region: bool = False


SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def make_undeclared(*, method, path):
    """Return the work of a call that no declaration covers; it is the least urgent."""
    return Work(
        name="undeclared",
        method=method,
        path=path,
        rank=UNDECLARED_RANK,
        repeatable=method in SAFE_METHODS,
    )


def match(works, *, method, target):
    """Return the first of ``works`` that covers a call, or ``None``.

    A declared path that ends in ``*`` covers every path with that prefix. The query
    of ``target`` is ignored.
    """
    path = target.partition("?")[0]
    for work in works:
        if work.method not in ("*", method):
            continue
        if work.path == path:
            return work
        if work.path.endswith("*") and path.startswith(work.path[:-1]):
            return work
    return None
