"""Measures how a mesh daemon's state and control work grow with the fleet's size."""

import random
import time
import tracemalloc

from bench import cost_slopes
from jackdawlanding.decisions import directory, readers, selection, trees
from jackdawlanding.mesh import codec, gossip, logs

FLEET_SIZES = (300, 1000, 3000, 9600)
INSTANCES_PER_SERVICE = 37
REGION_BY_FAILURE_DOMAIN = {
    f"{region}{number}": region for region in "ab" for number in range(4)
}
FAILURE_DOMAINS = sorted(REGION_BY_FAILURE_DOMAIN)
ROUNDS = 20
DESIGN_SIZE = 9600


def run():
    """Measure all slopes; return them as ``cost_slopes.Slope`` objects."""
    tracemalloc.start()
    memory = [(size, _measure_memory(size)) for size in FLEET_SIZES]
    tracemalloc.stop()
    fleet_states = {size: _make_fleet_state(size) for size in FLEET_SIZES}
    return [
        cost_slopes.fit("memory", "backend servers", memory),
        _fit_seconds("seconds a change", fleet_states, _apply_change),
        _fit_seconds(
            "seconds a check", fleet_states, lambda state: state.apply_held_removals()
        ),
        _fit_seconds("seconds a choice", fleet_states, _Chooser()),
        cost_slopes.fit(
            "bytes a whole listing",
            "backend servers",
            [
                (size, _count_bytes(state, since=0))
                for size, state in fleet_states.items()
            ],
        ),
        cost_slopes.fit(
            "bytes a second of news",
            "backend servers",
            [(size, _count_idle_bytes(state)) for size, state in fleet_states.items()],
        ),
    ]


def compute_tree_shape(size):
    """Return the most children of a daemon in all trees, and the first tree's depth.

    :param size: how many daemons the trees reach.
    """
    order = readers.ReaderOrder(_make_host(number) for number in range(size))
    fleet_trees = trees.make_trees(order)
    most_children = max(
        sum(len(tree.list_children(order.get(position))) for tree in fleet_trees)
        for position in range(size)
    )
    depth, level, reached = 0, [order.get(0)], 1
    while level:
        level = [
            child for host in level for child in fleet_trees[0].list_children(host)
        ]
        depth += bool(level)
        reached += len(level)
    assert reached == size, f"the tree reaches {reached} of {size} daemons"
    return most_children, depth


def _make_host(number):
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"


def _make_backend(number, *, slots=16):
    return directory.Backend(
        instance=f"i-{number:010x}",
        service=f"service{number // INSTANCES_PER_SERVICE}",
        host=_make_host(number),
        port=8301,
        failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        slots=slots,
        is_draining=False,
        born=1_775_516_142_000 + number,
    )


def _make_fleet_state(size):
    fleet_state = gossip.FleetState(decode=None, log=logs.Log())
    now = time.monotonic()
    for number in range(size):
        backend = _make_backend(number)
        fleet_state.directory.put(
            now=now, instance=backend.instance, revision=number + 1, backend=backend
        )
    fleet_state.directory.confirm(revision=size, at=now)
    return fleet_state


def _measure_memory(size):
    before = tracemalloc.get_traced_memory()[0]
    fleet_state = _make_fleet_state(size)
    fleet_state.directory.list_service("service0")
    return tracemalloc.get_traced_memory()[0] - before


def _fit_seconds(quantity, fleet_states, action):
    points = []
    for size, state in fleet_states.items():
        action(state)
        began = time.perf_counter()
        for _ in range(ROUNDS):
            action(state)
        points.append((size, (time.perf_counter() - began) / ROUNDS))
    return cost_slopes.fit(quantity, "backend servers", points)


def _apply_change(fleet_state):
    """Store a change of one backend server and update what a daemon derives from it."""
    fleet_directory = fleet_state.directory
    backend = fleet_directory.get("i-0000000001")
    revision = fleet_directory.get_revision(backend.instance) + DESIGN_SIZE
    for changed in (None, backend._replace(slots=backend.slots + 1)):
        revision += 1
        fleet_directory.put(
            now=time.monotonic(),
            instance=backend.instance,
            revision=revision,
            backend=changed,
        )
    fleet_directory.confirm(revision=revision, at=time.monotonic())
    fleet_directory.list_service(backend.service)
    fleet_directory.hosts.compute_position(backend.host)
    for tree in trees.make_trees(fleet_directory.hosts):
        tree.list_children(backend.host)
    fleet_directory.list_since(revision - 2)
    len(fleet_directory)


class _Chooser:
    """Chooses among the instances of a service, as a dispatcher does."""

    def __init__(self):
        self._selector = selection.Selector(
            region="a",
            failure_domain=FAILURE_DOMAINS[0],
            regions=REGION_BY_FAILURE_DOMAIN,
            generator=random.Random(1),
        )

    def __call__(self, fleet_state):
        self._selector.choose(
            now=time.monotonic(),
            backends=fleet_state.directory.list_service("service1"),
            kind="r",
            remaining=0.5,
        )


def _make_gossip(fleet_state):
    return gossip.Gossip(loop=None, fleet_state=fleet_state, links=None, local_host="")


def _count_bytes(fleet_state, *, since):
    update = _make_gossip(fleet_state)._make_update(since, with_configuration=False)
    return len(codec.Encoder().encode(update))


def _count_idle_bytes(fleet_state):
    """Return the bytes per second that a daemon with children sends without changes."""
    most_children, _ = compute_tree_shape(len(fleet_state.directory))
    update_bytes = _count_bytes(
        fleet_state, since=fleet_state.directory.complete_revision
    )
    digest = _make_gossip(fleet_state)._make_digest()
    return most_children * update_bytes + len(codec.Encoder().encode(digest))
