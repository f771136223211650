"""Bundles: the checked declarations of a directory as publishable values."""

import pathlib
import time
import typing

import expression

from jackdawlanding import exceptions
from jackdawlanding.settings import declarations, publications

SUFFIX = ".json"


class Change(typing.NamedTuple):
    """One difference between two bundles."""

    service: str
    key: str
    before: str
    after: str


def load_directory(directory):
    """Return the declarations below a directory, by service.

    :raises exceptions.FaultsError: every fault of every file.
    """
    paths = sorted(pathlib.Path(directory).rglob("*.toml"))
    faults, loaded, files = [], {}, {}
    if not paths:
        faults.append(_fault(directory, "directory", "holds no *.toml", "add one"))
    for path in paths:
        result = _parse_file(path)
        if result.is_error():
            faults += result.error
            continue
        service = result.ok.service
        if service in files:
            faults.append(
                _fault(
                    path,
                    "service",
                    f"{service!r} is declared in {files[service]} too",
                    "remove one",
                )
            )
        files[service] = path
        loaded[service] = result.ok
    # A file with faults declares a service that can't be known here.
    if len(loaded) == len(paths):
        faults += _check_calls(loaded, files)
    if faults:
        raise exceptions.FaultsError(faults=faults)
    return loaded


def make_bundle(declared, *, version, previous=None, now=None):
    """Return the publications of a new version.

    :param previous: the last bundle's publications, by service.
    :raises exceptions.FaultsError: the version does not grow, or a value is
        too large.
    """
    previous = previous or {}
    now = int(time.time() if now is None else now)
    faults, bundle = [], {}
    for service, declaration in declared.items():
        before = previous.get(service)
        if before and version <= before.version:
            faults.append(
                _fault(
                    service,
                    "version",
                    f"{version} is not above {before.version}",
                    f"use {before.version + 1} or more",
                )
            )
        publication = publications.Publication(
            service=service,
            version=version,
            created=before.created if before else now,
            declaration=declaration,
        )
        size = len(publications.encode(publication))
        if size > publications.MAXIMUM_BYTES:
            faults.append(
                _fault(service, "size", f"value has {size} bytes", "declare less work")
            )
        bundle[service] = publication
    if faults:
        raise exceptions.FaultsError(faults=faults)
    return bundle


def write_bundle(bundle, directory):
    """Write one file a service; return the paths."""
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

    :raises exceptions.FaultsError: a file is no published value.
    """
    faults, bundle = [], {}
    for path in sorted(pathlib.Path(directory).glob(f"*{SUFFIX}")):
        result = publications.decode(path.read_bytes(), service=path.stem)
        if result.is_error():
            faults.append(_fault(path, "value", result.error, "bundle it again"))
        else:
            bundle[path.stem] = result.ok
    if not bundle and not faults:
        faults.append(_fault(directory, "directory", "holds no bundle", "name another"))
    if faults:
        raise exceptions.FaultsError(faults=faults)
    return bundle


def compare(before, after):
    """Return the :class:`Change` s from one bundle to another."""
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
    """Return a declaration as dotted keys; work goes by its name."""
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
        fault = _fault(path, "file", str(error), "make it readable UTF-8")
        return expression.Error((fault,))
    return declarations.parse(text, file=str(path))


def _check_calls(loaded, files):
    faults = []
    for service, declaration in loaded.items():
        for called in declaration.calls:
            if called not in loaded:
                hint = exceptions.suggest(called, loaded)
                faults.append(
                    _fault(
                        files[service],
                        "calls",
                        f"{called!r} is not declared{hint}",
                        "declare it or remove it",
                    )
                )
    return faults


def _fault(file, key, problem, remedy):
    return declarations.Fault(file=str(file), key=key, problem=problem, remedy=remedy)
