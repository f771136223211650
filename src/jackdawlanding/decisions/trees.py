"""Trees over all daemons, by which news reach each of them in a few steps.

All daemons that know the same hosts plant the same trees. The root of each is
one of the store's readers; inner nodes of one tree are leaves of the other, so
that one lost daemon cuts off nobody from both.
"""

from jackdawlanding.decisions import readers

FANOUT = 8


class Tree:
    """A tree given as a list: the children of ``i`` are at ``i * FANOUT + 1`` on."""

    def __init__(self, *, hosts):
        self._hosts = hosts
        self._places = {host: place for place, host in enumerate(hosts)}

    def list_children(self, host):
        """Return the hosts that a host sends to; none for an unknown one."""
        place = self._places.get(host)
        if place is None:
            return ()
        first = place * FANOUT + 1
        return tuple(self._hosts[first : first + FANOUT])


def build_trees(hosts):
    """Return one tree for each reader of the store."""
    order = readers.order(hosts)
    trees = []
    for number in range(readers.READER_COUNT):
        root = order[number : number + 1]
        rest = [host for host in order if host not in root]
        if number % 2:
            rest.reverse()
        trees.append(Tree(hosts=root + rest))
    return tuple(trees)
