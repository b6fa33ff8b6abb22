"""A set that keeps the order of insertion, so that what iterates over it repeats itself.

Python's own sets order objects by their address and strings by a hash that differs between
processes; a run that has to give the same trace each time can use neither.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, MutableSet


def _in_order(items: Iterable) -> Iterable:
    """Return items in an order that repeats itself: a built-in set's are sorted by their text."""
    return sorted(items, key=repr) if isinstance(items, (set, frozenset)) else items


class OrderedSet(MutableSet):
    """A set that iterates in the order in which its items were added.

    :param items: what it holds at first
    """

    __slots__ = ("_items",)

    def __init__(self, items: Iterable = ()) -> None:
        self._items = dict.fromkeys(_in_order(items))

    def __contains__(self, item: object) -> bool:
        return item in self._items

    def __iter__(self) -> Iterator:
        return iter(self._items)

    def __len__(self) -> int:
        return len(self._items)

    def __repr__(self) -> str:
        return f"OrderedSet({list(self._items)})"

    def add(self, item: object) -> None:
        """Add an item; one that is there keeps its place."""
        self._items[item] = None

    def discard(self, item: object) -> None:
        """Take an item out if it is there."""
        self._items.pop(item, None)

    def pop(self) -> object:
        """Take the oldest item out.

        :raises KeyError: when there is none
        """
        if not self._items:
            raise KeyError("empty set")
        oldest = next(iter(self._items))
        del self._items[oldest]
        return oldest

    def update(self, *others: Iterable) -> None:
        """Add all items of others."""
        for other in others:
            self._items.update(dict.fromkeys(_in_order(other)))

    def __ior__(self, other: Iterable) -> OrderedSet:
        self.update(other)
        return self

    def __or__(self, other: Iterable) -> OrderedSet:
        return self.union(other)

    def __ror__(self, other: Iterable) -> OrderedSet:
        return OrderedSet(other).union(self)

    def difference_update(self, *others: Iterable) -> None:
        """Take all items of others out."""
        for other in others:
            for item in list(other):
                self.discard(item)

    def union(self, *others: Iterable) -> OrderedSet:
        """Return the items of this set and of others."""
        result = OrderedSet(self)
        result.update(*others)
        return result

    def difference(self, *others: Iterable) -> OrderedSet:
        """Return the items of this set that are in no other."""
        result = OrderedSet(self)
        result.difference_update(*others)
        return result

    def intersection(self, other: Iterable) -> OrderedSet:
        """Return the items that both hold."""
        wanted = frozenset(other)
        return OrderedSet(item for item in self if item in wanted)

    def issubset(self, other: Iterable) -> bool:
        """Tell whether another holds all items of this set."""
        return frozenset(self) <= frozenset(other)

    def issuperset(self, other: Iterable) -> bool:
        """Tell whether this set holds all items of another."""
        return all(item in self for item in other)

    def copy(self) -> OrderedSet:
        """Return a set of the same items."""
        return OrderedSet(self)
