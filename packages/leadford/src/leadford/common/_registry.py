"""Provide registries of named variants, filled by decorators.

A configuration selects a variant by name; the error for an unknown name lists the known
names.
"""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class UnknownVariantError(LookupError):
    """Report a name that is not registered, and the names that are."""


class Registry(Generic[T]):
    """Map the names of variants to the classes that implement them."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.variants_by_name_: dict[str, type[T]] = {}

    def register(self, name: str) -> Callable[[type[T]], type[T]]:
        """Register the decorated class under a name."""

        def decorate(variant: type[T]) -> type[T]:
            if name in self.variants_by_name_:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.variants_by_name_[name] = variant
            return variant

        return decorate

    def get(self, name: str) -> type[T]:
        """Return the class registered under a name."""
        variant = self.variants_by_name_.get(name)
        if variant is None:
            known = ", ".join(sorted(self.variants_by_name_))
            raise UnknownVariantError(f"unknown {self.kind} {name!r}; known: {known}")
        return variant

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self.variants_by_name_))

    def __contains__(self, name: object) -> bool:
        return name in self.variants_by_name_
