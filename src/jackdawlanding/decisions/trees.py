"""Trees of daemons along which updates are broadcast in a few steps.

All daemons with the same list of hosts have the same trees. The root of each tree is
one of the store's readers. Inner nodes of one tree are leaves of the other, so that
the loss of one daemon cuts off no other daemon from both trees.
"""

from jackdawlanding.decisions import readers

FANOUT = 8


class Tree:
    """A tree over the hosts of a ``readers.ReaderOrder``, which may change.

    The children of node ``i`` start at node ``i * FANOUT + 1``. Node 0 is the reader
    with the tree's number; the others follow in the order, or in the opposite order
    in a tree with an odd number.

    :param order: the ``readers.ReaderOrder``.
    :param number: the number of the tree, below ``readers.READER_COUNT``.
    """

    def __init__(self, *, order, number):
        self._order = order
        self._number = number

    def list_children(self, host):
        """Return the hosts that a host sends to; none for an unknown host."""
        if host not in self._order:
            return ()
        first = self._compute_node(self._order.compute_position(host)) * FANOUT + 1
        last = min(first + FANOUT, len(self._order))
        return tuple(
            self._order.get(self._compute_position(node)) for node in range(first, last)
        )

    @property
    def _root(self):
        """The root's position, the last one if there are too few hosts."""
        return min(self._number, len(self._order) - 1)

    def _compute_node(self, position):
        if position == self._root:
            return 0
        return 1 + self._mirror(position - (position > self._root))

    def _compute_position(self, node):
        if node == 0:
            return self._root
        index = self._mirror(node - 1)
        return index + (index >= self._root)

    def _mirror(self, index):
        """Return the index among all hosts but the root, or its opposite."""
        return len(self._order) - 2 - index if self._number % 2 else index


def make_trees(order):
    """Return one :class:`Tree` for each reader of the store, in their order."""
    return tuple(
        Tree(order=order, number=number) for number in range(readers.READER_COUNT)
    )
