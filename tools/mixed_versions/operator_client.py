"""The operator's calls: put a configuration, read it back."""
import http.client
import json
from dataclasses import dataclass

from mixed_versions.addresses import CONTROL_PORT
from mixed_versions.configurations import Configuration
from mixed_versions.deadline import Deadline, WaitTimedOut

_CALL_WAIT_S = 2.0
_ANSWER_S = 20.0  # longer than a shared disk stalls as a rule


class CallRefused(Exception):
    """A registry answered with what no proper call deserves."""


@dataclass(frozen=True)
class Reply:
    """The answer of a registry."""

    status: int
    body: bytes


def _call(host: str, method: str, body: bytes | None = None) -> Reply | None:
    """One call; None if no whole answer came."""
    connection = http.client.HTTPConnection(host, CONTROL_PORT, timeout=_CALL_WAIT_S)
    headers = {"Content-Type": "application/json"} if body is not None else {}
    try:
        connection.request(method, "/settings", body, headers)
        response = connection.getresponse()
        return Reply(response.status, response.read())
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class OperatorClient:
    """Calls the registries of one cluster."""

    def __init__(self, hosts: tuple[str, ...], overall: Deadline):
        self._hosts = hosts
        self._overall = overall

    def put(self, configuration: Configuration, first: int) -> dict:
        """Puts it, beginning at this registry and going on to others until one acknowledges it.

        Returns the body of the acknowledgement. Raises WaitTimedOut or CallRefused.
        """
        deadline = Deadline(_ANSWER_S, self._overall)
        acknowledged: list[Reply] = []
        attempts = iter(range(first, first + 1_000_000))

        def is_acknowledged() -> bool:
            host = self._hosts[next(attempts) % len(self._hosts)]
            reply = _call(host, "PUT", configuration.body)
            if reply is not None and 400 <= reply.status < 500:
                raise CallRefused(f"version {configuration.version}: {reply.status} {reply.body!r}")
            if reply is not None and reply.status == 200:
                acknowledged.append(reply)
            return bool(acknowledged)

        deadline.wait_until(is_acknowledged, f"version {configuration.version} acknowledged")
        return json.loads(acknowledged[0].body)

    def read(self, host: str) -> bytes:
        """The newest configuration through this registry; raises WaitTimedOut."""
        deadline = Deadline(_ANSWER_S, self._overall)
        while not deadline.is_over():
            reply = _call(host, "GET")
            if reply is not None and reply.status == 200:
                return reply.body
        raise WaitTimedOut(f"timed out: no configuration read through {host}")
