"""What a run counted and which faults it found."""
import threading
from dataclasses import dataclass

_MOST_FAULTS = 20


@dataclass
class Counts:
    """Totals of one pairing."""

    configurations: int = 0
    read_back: int = 0
    replaced: int = 0
    sent: int = 0
    served: int = 0
    gathered: int = 0
    aids: int = 0
    refused: int = 0
    not_found: int = 0


class Findings:
    """Counts and faults of one pairing; any thread may add to them."""

    def __init__(self):
        self._lock = threading.Lock()
        self._fault_count = 0
        self.counts = Counts()
        self.faults: list[str] = []

    def add(self, **amounts: int) -> None:
        """Adds to the counts of these names."""
        with self._lock:
            for name, amount in amounts.items():
                setattr(self.counts, name, getattr(self.counts, name) + amount)

    def fault(self, what: str) -> None:
        """Notes a fault; only the first ones are kept word for word."""
        with self._lock:
            self._fault_count += 1
            if len(self.faults) < _MOST_FAULTS:
                self.faults.append(what)

    def fault_count(self) -> int:
        """How many faults were noted, also those not kept."""
        with self._lock:
            return self._fault_count
