"""The transaction of one connection to a stand-in database."""
from dataclasses import dataclass, field


@dataclass
class Transaction:
    """What one connection has written and not committed."""

    is_open: bool = False
    writes: list[tuple[str, str]] = field(default_factory=list)

    def state(self) -> str:
        """As the wire tells it."""
        return "T" if self.is_open else "I"

    def end(self) -> list[tuple[str, str]]:
        """Closes it and gives what it wrote."""
        writes, self.writes, self.is_open = self.writes, [], False
        return writes
