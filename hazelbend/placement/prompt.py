"""What a request says of its prompt: `Token-Usage` and `Prefix-Hash`."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class PrefixSegment:
    """A part of a prompt; prompts with the same parts before it share it."""

    id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """Sizes in tokens. The last part is the request's own, or its session's."""

    tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple[PrefixSegment, ...] = ()

    @property
    def shared(self) -> tuple[PrefixSegment, ...]:
        """The parts that other requests may have."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Of all parts that other requests may have."""
        return sum(part.tokens for part in self.shared)

    @property
    def subject(self) -> str:
        """The last part that other requests may have; empty where there is none."""
        return self.parts[-2].id if len(self.parts) > 1 else ""


def parse_prompt(usage: str | None, parts: str | None) -> Prompt:
    """The prompt that these fields tell; what can't be read counts as not said."""
    tokens, _, max_output_tokens = (usage or "").partition(",")
    found = []
    for text in (parts or "").split(","):
        name, _, size = text.strip().partition(":")
        if name and size.isdecimal():
            found.append(PrefixSegment(name, int(size)))
    return Prompt(_whole(tokens), _whole(max_output_tokens), tuple(found))


def _whole(text: str) -> int:
    text = text.strip()
    return int(text) if text.isascii() and text.isdecimal() else 0
