"""Bundles of published values, made from a directory of declaration files."""

import pathlib
import time
import typing

import expression

from jackdawlanding import exceptions
from jackdawlanding.settings import declarations, publications

SUFFIX = ".json"


class Change(typing.NamedTuple):
    """A difference between two bundles: a key of a service and its two values.

    A value that is missing in a bundle is empty text.
    """

    service: str
    key: str
    before: str
    after: str


def load_directory(directory):
    """Return the declarations in a directory and below it, by service.

    :raises exceptions.FaultsError: a file can't be used; has the faults of all
        files.
    """
    paths = sorted(pathlib.Path(directory).rglob("*.toml"))
    faults, declared, files = [], {}, {}
    if not paths:
        faults.append(
            _make_fault(directory, "directory", "contains no *.toml file", "add one")
        )
    for path in paths:
        result = _parse_file(path)
        if result.is_error():
            faults += result.error
            continue
        service = result.ok.service
        if service in files:
            faults.append(
                _make_fault(
                    path,
                    "service",
                    f"{service!r} is also declared in {files[service]}",
                    "remove one of them",
                )
            )
        files[service] = path
        declared[service] = result.ok
    # A file with faults may declare a called service, so calls can't be checked.
    if len(declared) == len(paths):
        faults += _check_calls(declared, files)
    if faults:
        raise exceptions.FaultsError(faults=faults)
    return declared


def make_bundle(declared, *, version, previous=None, now=None):
    """Return the publications of a new version, by service.

    :param declared: the declarations, by service.
    :param previous: the publications of the previous bundle, by service.
    :param now: the time of publication in wall-clock seconds, by default now.
    :raises exceptions.FaultsError: the version is not above the previous one, or
        a value is too large.
    """
    previous = previous or {}
    now = int(time.time() if now is None else now)
    faults, bundle = [], {}
    for service, declaration in declared.items():
        last = previous.get(service)
        if last and version <= last.version:
            faults.append(
                _make_fault(
                    service,
                    "version",
                    f"{version} is not above {last.version}",
                    f"use {last.version + 1} or more",
                )
            )
        publication = publications.Publication(
            service=service,
            version=version,
            created=last.created if last else now,
            declaration=declaration,
        )
        size = len(publications.encode(publication))
        if size > publications.MAXIMUM_BYTES:
            faults.append(
                _make_fault(
                    service, "size", f"the value has {size} bytes", "declare less work"
                )
            )
        bundle[service] = publication
    if faults:
        raise exceptions.FaultsError(faults=faults)
    return bundle


def write_bundle(bundle, directory):
    """Write one file for each service and return their paths."""
    directory = pathlib.Path(directory)
    directory.mkdir(parents=True, exist_ok=True)
    paths = []
    for service, publication in sorted(bundle.items()):
        path = directory / f"{service}{SUFFIX}"
        path.write_bytes(publications.encode(publication))
        paths.append(path)
    return paths


def read_bundle(directory):
    """Return the publications that :func:`write_bundle` wrote, by service.

    :raises exceptions.FaultsError: a file is not a published value.
    """
    faults, bundle = [], {}
    for path in sorted(pathlib.Path(directory).glob(f"*{SUFFIX}")):
        result = publications.decode(path.read_bytes(), service=path.stem)
        if result.is_error():
            faults.append(_make_fault(path, "value", result.error, "bundle it again"))
        else:
            bundle[path.stem] = result.ok
    if not bundle and not faults:
        faults.append(
            _make_fault(
                directory,
                "directory",
                "contains no bundle",
                "give the directory of a bundle",
            )
        )
    if faults:
        raise exceptions.FaultsError(faults=faults)
    return bundle


def compare(before, after):
    """Return each :class:`Change` between two bundles.

    :param before: the publications of the old bundle, by service.
    :param after: those of the new bundle.
    """
    changes = []
    for service in sorted({*before, *after}):
        old = _flatten(before.get(service))
        new = _flatten(after.get(service))
        for key in sorted({*old, *new}):
            if old.get(key) != new.get(key):
                changes.append(
                    Change(
                        service=service,
                        key=key,
                        before=str(old.get(key, "")),
                        after=str(new.get(key, "")),
                    )
                )
    return changes


def _flatten(publication):
    """Return a declaration as a flat dict; keys of work contain its name."""
    if publication is None:
        return {}
    raw = declarations.dump(publication.declaration)
    flat = {"version": publication.version}
    for work in raw.pop("work"):
        flat.update({f"work.{work['name']}.{k}": v for k, v in work.items()})
    for key, value in raw.items():
        if isinstance(value, dict):
            flat.update({f"{key}.{k}": v for k, v in value.items()})
        else:
            flat[key] = value
    return flat


def _parse_file(path):
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        fault = _make_fault(path, "file", str(error), "make it readable UTF-8")
        return expression.Error((fault,))
    return declarations.parse(text, file=str(path))


def _check_calls(declared, files):
    faults = []
    for service, declaration in declared.items():
        for called in declaration.calls:
            if called not in declared:
                suggestion = exceptions.suggest(called, declared)
                faults.append(
                    _make_fault(
                        files[service],
                        "calls",
                        f"{called!r} is not declared{suggestion}",
                        "declare it or remove it",
                    )
                )
    return faults


def _make_fault(file, key, problem, remedy):
    return declarations.Fault(file=str(file), key=key, problem=problem, remedy=remedy)
