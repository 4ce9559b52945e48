"""The prompt of a request, as described by its headers `Token-Usage` and `Prefix-Hash`."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class PrefixSegment:
    """A segment of a prompt. Prompts that begin with the same segments share their KV cache entries."""

    id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """Sizes in tokens. The last segment belongs to the request itself, or to its session."""

    tokens: int = 0
    max_output_tokens: int = 0
    segments: tuple[PrefixSegment, ...] = ()

    @property
    def shared_prefix(self) -> tuple[PrefixSegment, ...]:
        """The segments that other requests may have in common with this one."""
        return self.segments[:-1]

    @property
    def shared_prefix_tokens(self) -> int:
        """The size of the shared prefix in tokens."""
        return sum(segment.tokens for segment in self.shared_prefix)

    @property
    def prefix_key(self) -> str:
        """The identifier of the last shared segment, for rendezvous hashing; empty if there is none."""
        return self.segments[-2].id if len(self.segments) > 1 else ""


def parse_prompt(token_usage: str | None, prefix_hash: str | None) -> Prompt:
    """Parse the two headers. Malformed values count as absent."""
    tokens, _, max_output_tokens = (token_usage or "").partition(",")
    segments = []
    for item in (prefix_hash or "").split(","):
        name, _, size = item.strip().partition(":")
        if name and size.isdecimal():
            segments.append(PrefixSegment(name, int(size)))
    return Prompt(_parse_count(tokens), _parse_count(max_output_tokens), tuple(segments))


def _parse_count(text: str) -> int:
    text = text.strip()
    return int(text) if text.isascii() and text.isdecimal() else 0
