"""Entries of another writer, which name no backend server."""

import json
import time

NOW = int(time.time() * 1000)
# Fields of a sound entry, with values that no backend server writes.
ODD_FIELDS = (
    ("maxConcurrency", 10**30),
    ("maxConcurrency", 10**400),
    ("maxConcurrency", 0),
    ("maxConcurrency", -1),
    ("maxConcurrency", "72"),
    ("maxConcurrency", True),
    ("maxConcurrency", 7.5),
    ("warmupRemainingMs", 10**309),
    ("warmupRemainingMs", 10**400),
    ("warmupRemainingMs", -(10**400)),
    ("warmupRemainingMs", -1),
    ("warmupRemainingMs", 1e300),
    ("warmupRemainingMs", float("inf")),
    ("warmupRemainingMs", float("nan")),
    ("warmupRemainingMs", "soon"),
    ("warmupRemainingMs", None),
    ("sequence", 10**400),
    ("sequence", -1),
    ("sequence", "4"),
    ("sequence", None),
    ("born", 10**400),
    ("born", 10**30),
    ("born", 1.5),
    ("born", "today"),
    ("born", True),
    ("born", -1),
    ("address", "127.0.9.1:70000"),
    ("address", "127.0.9.1:65536"),
    ("address", "127.0.9.1:0"),
    ("address", "127.0.9.1:-1"),
    ("address", "127.0.9.1:+80"),
    ("address", "127.0.9.1:8_0"),
    ("address", "127.0.9.1: 80"),
    ("address", "127.0.9.1:٨٠"),
    ("address", "127.0.9.1:" + "9" * 5000),
    ("address", "127.0.9.1"),
    ("address", "127.0.9.256:80"),
    ("address", "0.0.0.0:80"),
    ("address", "224.0.0.1:80"),
    ("address", "255.255.255.255:80"),
    ("address", "server.example:80"),
    ("address", 7),
    ("service", ""),
    ("service", "bank\r\nX-Odd: 1"),
    ("service", "\ud800"),
    ("service", 7),
    ("zone", ""),
    ("zone", "a1\x00"),
    ("zone", "x" * 100_000),
    ("zone", None),
    ("version", 1),
    ("version", None),
    ("state", "odd"),
    ("state", "READY"),
    ("state", []),
    ("state", {}),
)
# Bytes that are no entry. The numbers are too long to be converted, or too large.
ODD_DOCUMENTS = (
    b"",
    b"null",
    b"7",
    b"9" * 400,
    b"9" * 5000,
    b'"text"',
    b"[]",
    b"{}",
    b"\xff not json",
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b"[" * 900 + b"]" * 900,
    b'{"maxConcurrency": ' + b"9" * 5000 + b"}",
)
# Keys that can't be written in the head of a request.
ODD_KEYS = (
    "servers/",
    "servers/i-1\n",
    "servers/i 1",
    "servers/\x00",
    "servers/сървър",
    "servers/\ud83d",
    "servers/\udc00-1",
    "servers/i\ud83d",
)


# What a copy of a live server's entry may say that is sound in each field. The service
# ``nosuch`` is one that no configuration names.
SOUND_FIELDS = (
    {},
    {"born": NOW},
    {"born": 2**62},
    {"born": 1},
    {"state": "draining"},
    {"state": "draining", "born": NOW},
    {"zone": "nowhere", "version": "\0", "born": NOW},
    {"service": "nosuch", "born": NOW},
    {"service": "nosuch", "born": 2**62, "state": "draining"},
)


def list_odd_entries(good):
    """Return pairs of a label and the bytes of an odd entry.

    :param good: a sound entry.
    """
    entries = [(repr(data[:24]), data) for data in ODD_DOCUMENTS]
    for name, value in ODD_FIELDS:
        label = f"{name} = {value!r:.24}"
        entries.append((label, json.dumps({**good, name: value}).encode()))
    for name in set(good) - {"born"}:
        rest = {key: value for key, value in good.items() if key != name}
        entries.append((f"no {name}", json.dumps(rest).encode()))
    text = json.dumps(good)
    entries += [
        ("UTF-16", text.encode("utf-16")),
        ("a byte order mark", text.encode("utf-8-sig")),
        ("a document behind it", text.encode() * 2),
    ]
    return entries
