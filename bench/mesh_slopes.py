"""Slopes of a mesh daemon's state and control work over the fleet's size."""

import random
import time
import tracemalloc

from bench import slopes
from jackdawlanding.decisions import directory, readers, selection, trees
from jackdawlanding.mesh import codec, gossip, logs

SIZES = (300, 1000, 3000, 9600)
INSTANCES_A_SERVICE = 37
REGIONS = {f"{region}{number}": region for region in "ab" for number in range(4)}
DOMAINS = sorted(REGIONS)
ROUNDS = 20
TARGET_SIZE = 9600


def run():
    """Measure all slopes; return ``slopes.Slope`` s."""
    tracemalloc.start()
    memory = [(size, _measure_memory(size)) for size in SIZES]
    tracemalloc.stop()
    fleet_state = {size: _make_fleet_state(size) for size in SIZES}
    return [
        slopes.fit("memory", "backend servers", memory),
        _fit_seconds("seconds a change", fleet_state, _change),
        _fit_seconds(
            "seconds a check", fleet_state, lambda one: one.apply_held_removals()
        ),
        _fit_seconds("seconds a choice", fleet_state, _Chooser()),
        slopes.fit(
            "bytes a whole listing",
            "backend servers",
            [(size, _count_bytes(one, since=0)) for size, one in fleet_state.items()],
        ),
        slopes.fit(
            "bytes a second of news",
            "backend servers",
            [(size, _count_idle_bytes(one)) for size, one in fleet_state.items()],
        ),
    ]


def find_tree(size):
    """Return the most children and the depth of the trees of so many daemons."""
    hosts = [_make_host(number) for number in range(size)]
    planted = trees.build_trees(hosts)
    most = max(sum(len(one.list_children(host)) for one in planted) for host in hosts)
    depth, level, reached = 0, [readers.order(hosts)[0]], 1
    while level:
        level = [child for host in level for child in planted[0].list_children(host)]
        depth += bool(level)
        reached += len(level)
    assert reached == size, f"the tree reaches {reached} of {size}"
    return most, depth


def _make_host(number):
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"


def _make_backend(number, *, slots=16):
    return directory.Backend(
        instance=f"i-{number:010x}",
        service=f"service{number // INSTANCES_A_SERVICE}",
        host=_make_host(number),
        port=8301,
        failure_domain=DOMAINS[number % len(DOMAINS)],
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
    kept = _make_fleet_state(size)
    kept.directory.list_service("service0")
    return tracemalloc.get_traced_memory()[0] - before


def _fit_seconds(quantity, fleet_state, action):
    points = []
    for size, one in fleet_state.items():
        action(one)
        began = time.perf_counter()
        for _ in range(ROUNDS):
            action(one)
        points.append((size, (time.perf_counter() - began) / ROUNDS))
    return slopes.fit(quantity, "backend servers", points)


def _change(fleet_state):
    """Take in one change and do what each daemon does then."""
    known = fleet_state.directory
    backend = known.get("i-0000000001")
    known.put(
        now=time.monotonic(),
        instance=backend.instance,
        revision=known.get_revision(backend.instance) + TARGET_SIZE,
        backend=backend._replace(slots=backend.slots + 1),
    )
    known.list_service(backend.service)
    hosts = known.list_hosts()
    readers.compute_position(host=backend.host, hosts=hosts)
    trees.build_trees(hosts)
    known.list_instances()
    len(known)


class _Chooser:
    """Chooses among the instances of a service, as an entry does."""

    def __init__(self):
        self._selector = selection.Selector(
            region="a",
            failure_domain=DOMAINS[0],
            regions=REGIONS,
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
    news = _make_gossip(fleet_state)._make_update(since, with_configuration=False)
    return len(codec.Encoder().encode(news))


def _count_idle_bytes(fleet_state):
    """Return what an inner node sends a second when nothing is new."""
    most, _ = find_tree(len(fleet_state.directory))
    each = _count_bytes(fleet_state, since=fleet_state.directory.complete_revision)
    digest = _make_gossip(fleet_state)._make_digest()
    return most * each + len(codec.Encoder().encode(digest))
