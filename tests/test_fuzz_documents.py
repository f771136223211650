"""Whatever the store holds is a value inside its ranges, or a typed error."""

import json
import os
import unittest

import hypothesis
from hypothesis import strategies

from jackdawlanding.decisions import directory, routes, validation
from jackdawlanding.mesh import codec, messages
from jackdawlanding.platform import documents
from tests import backendservers, configurations

EXAMPLES = int(os.environ.get("JACKDAW_FUZZ_EXAMPLES", "300"))
GOOD_ENTRY = backendservers.make_entry(
    service="desk", address="127.0.0.1:8080", slots=72
)
GOOD_CONFIGURATION = configurations.make(
    3, configurations.make_route("look", split={"desk": 90, "bank": 10})
)
ENTRY_KEY = "servers/i-7"

numbers = strategies.one_of(
    strategies.integers(),
    strategies.integers(min_value=300, max_value=5000).map(lambda digits: 10**digits),
    strategies.floats(),
)
values = strategies.recursive(
    strategies.one_of(
        strategies.none(), strategies.booleans(), numbers, strategies.text()
    ),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(strategies.text(), children, max_size=3)
    ),
    max_leaves=8,
)


def dump(value):
    """Return a value as JSON; integers of any length are written."""
    if isinstance(value, dict):
        pairs = (f"{json.dumps(key)}: {dump(part)}" for key, part in value.items())
        return "{" + ", ".join(pairs) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(dump, value)) + "]"
    if type(value) is int and abs(value) >= 10**300:
        return "9" * (value.bit_length() * 3 // 10)
    return json.dumps(value)


def list_places(document, path=()):
    """Return the paths of all values in a document."""
    items = ()
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    places = [path] if path else []
    for key, part in items:
        places += list_places(part, (*path, key))
    return places


def replace(document, path, value):
    """Return a copy of a document with another value at a path."""
    copy = json.loads(json.dumps(document))
    part = copy
    for key in path[:-1]:
        part = part[key]
    part[path[-1]] = value
    return copy


def mutate(document):
    """Return a strategy of a document's bytes with some odd places."""
    places = strategies.sampled_from(list_places(document))

    def apply(changes):
        changed = document
        for path, value in changes:
            try:
                changed = replace(changed, path, value)
            except (LookupError, TypeError, ValueError):
                continue
        return dump(changed).encode()

    return strategies.lists(
        strategies.tuples(places, numbers | values), min_size=1, max_size=3
    ).map(apply)


def make_data(document):
    return strategies.one_of(
        mutate(document), values.map(lambda value: dump(value).encode())
    ) | strategies.binary(max_size=200)


class DocumentFuzz(unittest.TestCase):
    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @hypothesis.given(data=make_data(GOOD_ENTRY))
    def test_an_entry_is_sound_and_can_be_sent_or_is_an_error(self, data):
        try:
            backend = documents.decode_backend(ENTRY_KEY, data)
        except documents.DocumentError as error:
            self.assertLess(len(str(error)), 1000)
            return
        self.assertIs(validation.check_backend(backend), backend)
        update = messages.StateUpdate(
            tree=-1,
            is_snapshot=False,
            since=0,
            revision=1,
            age=0.0,
            records=[("i-7", 1, backend)],
            configuration=b"",
            suspects=[],
        )
        (received,) = codec.Decoder().feed(codec.Encoder().encode(update))
        self.assertEqual(directory.Backend(*received.records[0][2]), backend)

    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @hypothesis.given(
        key=strategies.one_of(
            strategies.text(), strategies.text().map("servers/".__add__)
        )
    )
    def test_a_key_can_be_written_in_a_head_or_is_an_error(self, key):
        try:
            backend = documents.decode_backend(key, json.dumps(GOOD_ENTRY).encode())
        except documents.DocumentError:
            return
        self.assertTrue(set(backend.instance.encode("ascii")) <= set(range(33, 127)))

    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @hypothesis.given(data=make_data(GOOD_CONFIGURATION))
    def test_a_configuration_is_usable_or_an_error(self, data):
        try:
            configuration = documents.decode_configuration(data)
        except documents.DocumentError as error:
            self.assertLess(len(str(error)), 1000)
            return
        routes.RouteTable(configuration=configuration).find(host="x", target="/")

    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @hypothesis.given(
        data=make_data(
            {
                "events": [
                    {"key": "a", "value": "eA==", "revision": 4},
                    {"key": "b", "revision": 5, "removed": True},
                ],
                "at": 5,
            }
        )
    )
    def test_an_answer_of_the_store_is_a_page_or_an_error(self, data):
        try:
            page = documents.decode_page(data)
        except documents.DocumentError as error:
            self.assertLess(len(str(error)), 1000)
            return
        for item in page.items:
            item.key.encode()
