"""A client: sends one request to a broker on a new connection."""
import http.client
from dataclasses import dataclass

from mixed_versions.addresses import FRONT_PORT, READY_PORT
from mixed_versions.requests import HOST, Request

TIME_LEFT_MS = 5000

_AIDS_METRIC = b"saddlewing_aids_total "
_CONNECT_WAIT_S = 1.0
_READY_WAIT_S = 0.5


class NotSent(Exception):
    """No connection came up, so the broker never saw the request."""


@dataclass(frozen=True)
class Answer:
    """A whole answer; status 0 with the reason in the body if none came."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes


def exchange(broker_host: str, request: Request) -> Answer:
    """Sends the request and reads the answer; raises NotSent."""
    connection = http.client.HTTPConnection(broker_host, FRONT_PORT, timeout=_CONNECT_WAIT_S)
    try:
        connection.connect()
    except OSError as reason:
        raise NotSent(str(reason)) from reason
    connection.sock.settimeout(TIME_LEFT_MS / 1000 + 1)
    headers = {"Host": HOST, "Try-Id": request.try_id, "Time-Left": str(TIME_LEFT_MS)}
    try:
        connection.request(request.method, request.path, request.body or None, headers)
        response = connection.getresponse()
        return Answer(response.status, response.headers, response.read())
    except (OSError, http.client.HTTPException) as reason:
        return Answer(0, http.client.HTTPMessage(), repr(reason).encode())
    finally:
        connection.close()


def is_ready(broker_host: str) -> bool:
    """Whether the broker calls itself ready."""
    connection = http.client.HTTPConnection(broker_host, READY_PORT, timeout=_READY_WAIT_S)
    try:
        connection.request("GET", "/readiness")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def count_aids(broker_host: str) -> int:
    """How many gathers the broker did for the other one since it started; 0 if it does not tell."""
    connection = http.client.HTTPConnection(broker_host, READY_PORT, timeout=_CONNECT_WAIT_S)
    try:
        connection.request("GET", "/metrics")
        lines = connection.getresponse().read().splitlines()
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()
    values = [line.removeprefix(_AIDS_METRIC) for line in lines if line.startswith(_AIDS_METRIC)]
    return int(float(values[0])) if values else 0
