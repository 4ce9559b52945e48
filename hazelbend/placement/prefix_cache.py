"""A router's model of one worker's prefix cache: which shared prompt segments it holds.

The worker does not report its cache. The model tracks the prefills that this router and its peers have sent
there, and assumes least-recently-used eviction.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from hazelbend.placement.prompt import PrefixSegment


@dataclass(slots=True, eq=False)
class PrefixCache:
    """Segments by identifier, with their sizes in tokens; the least recently used one comes first."""

    segments: OrderedDict[str, int] = field(default_factory=OrderedDict)
    total_tokens: int = 0

    def add(self, segments: Iterable[PrefixSegment], capacity: int) -> list[PrefixSegment]:
        """Mark segments as most recently used, and evict down to `capacity` tokens.

        Returns:
            The segments that were not cached before.
        """
        new = []
        for segment in segments:
            if segment.id not in self.segments:
                new.append(segment)
                self.total_tokens += segment.tokens
            self.segments[segment.id] = segment.tokens
            self.segments.move_to_end(segment.id)
        while self.total_tokens > capacity and self.segments:
            _, tokens = self.segments.popitem(last=False)
            self.total_tokens -= tokens
        return new

    def cached_tokens(self, segments: Iterable[PrefixSegment]) -> int:
        """Return the number of tokens in the leading segments that are cached."""
        total = 0
        for segment in segments:
            if segment.id not in self.segments:
                break
            total += segment.tokens
        return total
