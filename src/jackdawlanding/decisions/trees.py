"""Trees of daemons along which updates are broadcast in a few steps.

All daemons with the same list of hosts build the same trees. The root of each tree is
one of the store's readers. Inner nodes of one tree are leaves of the other, so that
the loss of one daemon cuts off no other daemon from both trees.
"""

from jackdawlanding.decisions import readers

FANOUT = 8


class Tree:
    """A tree stored as a list: the children of node ``i`` start at ``i * FANOUT + 1``.

    :param hosts: the daemons' hosts, the root first.
    """

    def __init__(self, *, hosts):
        self._hosts = hosts
        self._positions = {host: position for position, host in enumerate(hosts)}

    def list_children(self, host):
        """Return the hosts that a host sends to; none for an unknown host."""
        position = self._positions.get(host)
        if position is None:
            return ()
        first = position * FANOUT + 1
        return tuple(self._hosts[first : first + FANOUT])


def build_trees(hosts):
    """Return one :class:`Tree` for each reader of the store, in their order."""
    order = readers.order(hosts)
    trees = []
    for number in range(readers.READER_COUNT):
        root = order[number : number + 1]
        rest = [host for host in order if host not in root]
        if number % 2:
            rest.reverse()
        trees.append(Tree(hosts=root + rest))
    return tuple(trees)
