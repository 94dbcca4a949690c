"""Reads the metrics of all nodes now and then."""
import asyncio

from mixed_versions.addresses import CONTROL_PORT, READY_PORT
from soak.cluster import SoakCluster, SoakNode
from soak.history import History, Observation, now
from soak.http_streams import call, make_request_bytes

OBSERVE_EVERY_S = 0.4


class NodeObserver:
    """Notes what the nodes tell of themselves."""

    def __init__(self, cluster: SoakCluster, history: History):
        self._cluster = cluster
        self._history = history

    async def run(self) -> None:
        """Goes on until it is cancelled."""
        while True:
            await self.note_metrics()
            await asyncio.sleep(OBSERVE_EVERY_S)

    async def note_metrics(self) -> None:
        """One look at every node that runs."""
        for node in self._cluster.nodes:
            if not node.is_running():
                continue
            life = self._cluster.life_number(node)
            at = now()
            values = await self.metrics_of(node)
            if values and self._cluster.life_number(node) == life:
                self._history.observations.append(Observation(node.spec.name, life, at, values))

    async def metrics_of(self, node: SoakNode) -> dict[str, float]:
        """The node's metrics by name; empty if it does not answer."""
        port = CONTROL_PORT if node in self._cluster.registries else READY_PORT
        request = make_request_bytes("GET", "/metrics", {"Host": "metrics"}, b"")
        answer = await call(node.spec.host, port, request, 0.5)
        if answer is None or answer.status != 200:
            return {}
        values = {}
        for line in answer.body.decode(errors="replace").splitlines():
            name, _, value = line.rpartition(" ")
            if name and not line.startswith("#"):
                values[name] = float(value)
        return values
