"""Three registries, two brokers and their stand-ins on loopback."""
from pathlib import Path

from mixed_versions.addresses import PLATFORM_PORT, Network
from mixed_versions.backend import BackendSpec, start_backend
from mixed_versions.builds import Build, Pairing
from mixed_versions.configurations import PLAIN_SERVICE, SHARDS
from mixed_versions.core_view import CoreView, ask_core
from mixed_versions.deadline import Deadline, WaitTimedOut
from mixed_versions.http_stand_in import StandInServer
from mixed_versions.ledger import Ledger
from mixed_versions.node import GRACE_S, ClusterSettings, Node, NodeKind, NodeSpec
from mixed_versions.platform_list import start_platform

ZONES = {"zone-east": "region-east", "zone-west": "region-west"}

_REGISTRY_ZONES = ("zone-east", "zone-west", "zone-east")
_BROKER_ZONES = ("zone-east", "zone-west")
_FIRST_BROKER = 11
_PLATFORM = 20
_FIRST_BACKEND = 31
_SETTLE_S = 20.0
_END_S = GRACE_S + 3.0
_LEADER_ATTEMPTS = 6


class ProcessFault(Exception):
    """A process ended by itself, or not when it was asked to."""


def plan_backends(network: Network) -> list[BackendSpec]:
    """Plain backends in both zones; the shards of each half live in one zone alone."""
    places = [(PLAIN_SERVICE, "zone-east"), (PLAIN_SERVICE, "zone-west")] * 2
    for number, shard in enumerate(SHARDS):
        zone = "zone-east" if number < len(SHARDS) / 2 else "zone-west"
        places += [(shard, zone)] * 2
    return [BackendSpec(f"i-{number:08x}", service, network.host(_FIRST_BACKEND + number), zone)
            for number, (service, zone) in enumerate(places)]


class Cluster:
    """Owns the processes and the stand-ins of one pairing; close() ends them all."""

    def __init__(self, network: Network, folder: Path, ledger: Ledger, overall: Deadline):
        self._overall = overall
        self._stand_ins: list[StandInServer] = []
        registry_hosts = tuple(network.host(1 + at) for at in range(len(_REGISTRY_ZONES)))
        platform_host = network.host(_PLATFORM)
        settings = ClusterSettings(registry_hosts, f"{platform_host}:{PLATFORM_PORT}", ZONES)
        specs = [NodeSpec(NodeKind.REGISTRY, f"registry-{at + 1}", registry_hosts[at], zone)
                 for at, zone in enumerate(_REGISTRY_ZONES)]
        specs += [NodeSpec(NodeKind.BROKER, f"broker-{at + 1}", network.host(_FIRST_BROKER + at),
                           zone) for at, zone in enumerate(_BROKER_ZONES)]
        nodes = [Node(spec, settings, folder / spec.name) for spec in specs]
        self.registries = nodes[:len(_REGISTRY_ZONES)]
        self.brokers = nodes[len(_REGISTRY_ZONES):]
        self._start_stand_ins(network, platform_host, ledger)

    def _start_stand_ins(self, network: Network, platform_host: str, ledger: Ledger) -> None:
        backends = plan_backends(network)
        for spec in backends:
            self._stand_ins.append(start_backend(spec, ledger))
        self._stand_ins.append(start_platform(platform_host, backends))

    @property
    def nodes(self) -> list[Node]:
        """All nodes."""
        return self.registries + self.brokers

    @property
    def registry_hosts(self) -> tuple[str, ...]:
        """Addresses for the operator's calls."""
        return tuple(node.spec.host for node in self.registries)

    @property
    def contacts(self) -> list[str]:
        """Inner addresses of the registries."""
        return [node.spec.inner_address for node in self.registries]

    def start_first(self, pairing: Pairing) -> None:
        """The founding start, each node with its build of the pairing."""
        for node, build in zip(self.registries, (pairing.leader, *pairing.followers)):
            node.start(build, is_first_run=True)
        for node, build in zip(self.brokers, pairing.brokers):
            node.start(build, is_first_run=True)

    def stop(self, node: Node) -> None:
        """Asks a node to end and waits for it; raises ProcessFault."""
        if not node.is_running():
            raise ProcessFault(f"{node.spec.name} ended by itself")
        node.ask_to_end()
        self.wait_ended(node)

    def wait_ended(self, node: Node) -> None:
        """Waits for the end of a node that was asked to end; raises ProcessFault."""
        if not node.has_ended_well(_END_S):
            raise ProcessFault(f"{node.spec.name} did not end in order")

    def wait_settled(self, version: int, builds: tuple[Build, Build]) -> CoreView:
        """Waits until the commands of both builds see a settled core that holds this version."""
        deadline = Deadline(_SETTLE_S, self._overall)
        views: list[CoreView] = []

        def is_settled() -> bool:
            views[:] = [ask_core(build, self.contacts) for build in builds]
            return all(view.is_settled(len(self.registries), version) for view in views)

        deadline.wait_until(is_settled, f"core settled with version {version}")
        return views[0]

    def leader(self, view: CoreView) -> Node:
        """The registry that leads by this view."""
        address = view.leader_address()
        return next(node for node in self.registries if node.spec.inner_address == address)

    def describe_core(self, build: Build) -> str:
        """What every registry tells of its part and its disk, for the text of a fault."""
        told = ask_core(build, self.contacts).registries
        return "core: " + ("; ".join(
            f"{one['node']} {one['role']} of term {one['term']}, disk {one['disk']}, "
            f"saving for {one['saving_ms']} ms" for one in told) or "silent")

    def make_lead(self, wanted: Node, version: int, builds: tuple[Build, Build]) -> None:
        """Restarts the other registries, each with its own build, until the wanted one leads."""
        for _ in range(_LEADER_ATTEMPTS):
            leader = self.leader(self.wait_settled(version, builds))
            if leader is wanted:
                return
            other = next(node for node in self.registries if node not in (leader, wanted))
            for node in (other, leader):  # the leader hands over to the only one left
                self.stop(node)
            for node in (leader, other):
                node.start(node.build)
        raise WaitTimedOut(f"{wanted.spec.name} never led")

    def close(self) -> None:
        """Ends every process and stand-in."""
        for node in self.nodes:
            node.ask_to_end()
        for node in self.nodes:
            node.kill()
        for stand_in in self._stand_ins:
            stand_in.close()
