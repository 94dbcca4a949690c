"""Waiting with a bound."""
import threading
import time
from collections.abc import Callable

_POLL_PAUSE_S = 0.05


class WaitTimedOut(Exception):
    """What was waited for did not come in time."""


class Deadline:
    """A moment after which nothing is waited for any more."""

    def __init__(self, seconds: float, parent: "Deadline | None" = None):
        self._until = time.monotonic() + seconds
        if parent is not None:
            self._until = min(self._until, parent._until)
        self._pause = threading.Event()

    def left(self) -> float:
        """Seconds left, 0 when it has passed."""
        return max(0.0, self._until - time.monotonic())

    def is_over(self) -> bool:
        """Whether it has passed."""
        return self.left() == 0

    def wait_until(self, is_met: Callable[[], bool], what: str) -> None:
        """Returns once the condition is met; raises WaitTimedOut when the deadline passes first."""
        while not is_met():
            if self.is_over():
                raise WaitTimedOut(f"timed out: {what}")
            self._pause.wait(_POLL_PAUSE_S)
