"""How far a server is believed to fail the jobs it gets: estimates only, nothing is chosen here.

A server is either sound, and errs in a small part SLIP of its tries, or it fails, in a part of its tries that
is not known: every part is alike at first. By Bayes' rule each result moves the chance that it fails by how
much likelier the one kind of server gives it, and the part by which it fails is learnt from the results that
were seen while it was believed to. Of a sound server one error in a thousand tries is seen, so the first
error already makes failing the likelier of the two; a success speaks against it the more the fewer of its
tries a server that fails would serve. What nobody has tried for a while is believed less and less: spells of
failing come and go.

Only what is said of a server by itself counts: of a request that has failed elsewhere already it is as likely
that the request is at fault.
"""

from dataclasses import dataclass
from math import exp

SLIP = 0.001  # part of its tries in which a sound server errs: in service it is 0 to 2 in 1,000
AT_FIRST = 0.05  # chance that a server of which nothing is known fails: up to a sixth of all do, on some days
SPELL = 20_000_000  # microseconds that failing lasts about: 5 to 30 s have been recorded


@dataclass(slots=True, eq=False)
class Soundness:
    """What is believed of one worker."""

    failing: float = AT_FIRST  # the chance that it fails, when last seen
    errors: float = 0.0  # results that are put down to failing
    served: float = 0.0
    seen_at: int = 0

    def now(self, now: int) -> tuple[float, float, float]:
        """The chance that it fails, and how many errors and successes still tell how often."""
        kept = exp(min(self.seen_at - now, 0) / SPELL)
        return AT_FIRST + (self.failing - AT_FIRST) * kept, self.errors * kept, self.served * kept

    def risk(self, now: int) -> float:
        """The chance that its next try ends in an error."""
        failing, errors, served = self.now(now)
        return failing * (1 + errors) / (2 + errors + served) + (1 - failing) * SLIP

    def see(self, error: bool, now: int) -> None:
        """A try there has ended."""
        failing, errors, served = self.now(now)
        part = (1 + errors) / (2 + errors + served)
        if_failing, if_sound = (part, SLIP) if error else (1 - part, 1 - SLIP)
        failing = failing * if_failing / (failing * if_failing + (1 - failing) * if_sound)
        self.errors, self.served = errors + failing * error, served + failing * (not error)
        self.failing, self.seen_at = failing, now
