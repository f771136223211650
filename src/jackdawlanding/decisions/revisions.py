"""Revisions of the store, in one order over all of its eras.

A store that is restored from a copy begins a new era and gives out numbers again. A
revision holds its era in the upper bits, as a zxid of ZooKeeper holds its epoch: those
of all eras compare, and travel between daemons, as integers.
"""

NUMBER_BITS = 40
MAXIMUM_NUMBER = (1 << NUMBER_BITS) - 1
# The rest of the integers that a message between daemons can carry.
MAXIMUM_ERA = (1 << (63 - NUMBER_BITS)) - 1


def make(*, era, number):
    """Return the revision that the store gave as ``number`` in an era.

    :raises ValueError: one of them is out of range.
    """
    if not 0 <= number <= MAXIMUM_NUMBER:
        raise ValueError(f"revision {number} is not from 0 to {MAXIMUM_NUMBER}")
    if not 0 <= era <= MAXIMUM_ERA:
        raise ValueError(f"era {era} is not from 0 to {MAXIMUM_ERA}")
    return era << NUMBER_BITS | number


def get_era(revision):
    """Return the era of a revision, 0 for that of a store without eras."""
    return revision >> NUMBER_BITS


def get_number(revision):
    """Return the number that the store gave a revision in its era."""
    return revision & MAXIMUM_NUMBER
