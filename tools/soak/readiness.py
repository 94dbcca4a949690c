"""Waits until nodes that carry traffic call themselves ready."""
import asyncio

from mixed_versions.addresses import READY_PORT
from soak.cluster import SoakNode
from soak.history import now
from soak.http_streams import call, make_request_bytes

_ANSWER_WAIT_S = 0.5
_PAUSE_S = 0.1


async def wait_ready(nodes: list[SoakNode], limit_s: float) -> list[SoakNode]:
    """Returns the nodes that were not ready within the limit."""
    probe = make_request_bytes("GET", "/readiness", {"Host": "ready"}, b"")
    until = now() + limit_s
    missing = list(nodes)
    while missing and now() < until:
        answer = await call(missing[0].spec.host, READY_PORT, probe, _ANSWER_WAIT_S)
        if answer is not None and answer.status == 200:
            missing.pop(0)
        else:
            await asyncio.sleep(_PAUSE_S)
    return missing
