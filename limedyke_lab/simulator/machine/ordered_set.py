"""A set that keeps insertion order, so that iteration over it is repeatable.

Python's built-in sets order objects by their address and strings by a hash that differs
between processes; both would make the traces of equal runs differ.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, MutableSet


def _in_order(items: Iterable) -> Iterable:
    """Return items in a repeatable order: those of a built-in set are sorted by their repr."""
    return sorted(items, key=repr) if isinstance(items, (set, frozenset)) else items


class OrderedSet(MutableSet):
    """A set that iterates in insertion order.

    :param items: the initial items
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
        """Add an item; an existing one keeps its position."""
        self._items[item] = None

    def discard(self, item: object) -> None:
        """Remove an item if present."""
        self._items.pop(item, None)

    def pop(self) -> object:
        """Remove and return the oldest item.

        :raises KeyError: if the set is empty
        """
        if not self._items:
            raise KeyError("empty set")
        oldest = next(iter(self._items))
        del self._items[oldest]
        return oldest

    def update(self, *others: Iterable) -> None:
        """Add all items of the other iterables."""
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
        """Remove all items of the other iterables."""
        for other in others:
            for item in list(other):
                self.discard(item)

    def union(self, *others: Iterable) -> OrderedSet:
        """Return the union with the other iterables."""
        result = OrderedSet(self)
        result.update(*others)
        return result

    def difference(self, *others: Iterable) -> OrderedSet:
        """Return the items of this set that are in none of the others."""
        result = OrderedSet(self)
        result.difference_update(*others)
        return result

    def intersection(self, other: Iterable) -> OrderedSet:
        """Return the items in both this set and the other."""
        wanted = frozenset(other)
        return OrderedSet(item for item in self if item in wanted)

    def issubset(self, other: Iterable) -> bool:
        """Tell whether the other contains all items of this set."""
        return frozenset(self) <= frozenset(other)

    def issuperset(self, other: Iterable) -> bool:
        """Tell whether this set contains all items of the other."""
        return all(item in self for item in other)

    def copy(self) -> OrderedSet:
        """Return a shallow copy."""
        return OrderedSet(self)
