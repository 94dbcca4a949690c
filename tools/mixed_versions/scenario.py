"""One pairing from the founding start to the last replacement."""
from dataclasses import dataclass
from pathlib import Path

from mixed_versions.addresses import Network
from mixed_versions.builds import Build, Pairing
from mixed_versions.client import count_aids
from mixed_versions.cluster import Cluster, ProcessFault
from mixed_versions.configurations import Configuration, make_configuration, version_prefix
from mixed_versions.core_view import can_trace
from mixed_versions.deadline import Deadline, WaitTimedOut
from mixed_versions.findings import Findings
from mixed_versions.judge import Verdict
from mixed_versions.ledger import Ledger
from mixed_versions.node import TAKE_EFFECT_MS, Node
from mixed_versions.operator_client import CallRefused, OperatorClient
from mixed_versions.requests import RouteKind, make_request
from mixed_versions.traffic import Traffic

_READY_S = 20.0
_PROBE_S = 5.0
_AIDS_S = 15.0
_MOST_REFUSED_SHARE = 0.1


@dataclass(frozen=True)
class BuildPair:
    """The two builds, to be exchanged for each other."""

    old: Build
    new: Build

    def other(self, build: Build) -> Build:
        """The build that replaces this one."""
        return self.new if build is self.old else self.old

    def both(self) -> tuple[Build, Build]:
        """Both, the old one first."""
        return self.old, self.new


class Scenario:
    """Runs one pairing; what it found is in `findings`."""

    def __init__(self, pairing: Pairing, builds: BuildPair, network: Network, folder: Path,
                 overall: Deadline):
        self.findings = Findings()
        self._pairing = pairing
        self._builds = builds
        self._overall = overall
        self._ledger = Ledger()
        self._acknowledged: list[Configuration] = []
        self._in_force_by = overall  # when the newest must be in force at every broker
        self._member_ids: dict[str, str] = {}
        self._cluster = Cluster(network, folder, self._ledger, overall)
        self._operator = OperatorClient(self._cluster.registry_hosts, overall)
        hosts = tuple(node.spec.host for node in self._cluster.brokers)
        self._traffic = Traffic(hosts, self._ledger, self.findings)

    def run(self) -> None:
        """Runs to the end or to the first fault after which nothing more can be learnt."""
        try:
            self._play()
        except (WaitTimedOut, ProcessFault, CallRefused) as reason:
            self.findings.fault(f"{reason}; {self._cluster.describe_core(self._builds.new)}")
        finally:
            self._traffic.stop()
            self._cluster.close()
        self._check_ledger()

    def log_tails(self) -> dict[str, str]:
        """The last lines of every node's log."""
        return {node.spec.name: node.log_tail() for node in self._cluster.nodes}

    def _play(self) -> None:
        cluster = self._cluster
        cluster.start_first(self._pairing)
        self._change()
        cluster.make_lead(cluster.registries[0], self._newest().version, self._builds.both())
        self._member_ids = cluster.wait_settled(1, self._builds.both()).member_ids()
        self._traffic.start()
        self._wait_ready(cluster.brokers)
        self._change()
        self._check_brokers()
        self._check_aids()
        for node in self._replacement_order():
            self._replace(node)
        self._check_tracers()
        self._restart_core()
        self._check_all_kept()

    def _replacement_order(self) -> list[Node]:
        """A follower, a broker, the leader, the other broker, the other follower."""
        leader, first, second = self._cluster.registries
        first_broker, second_broker = self._cluster.brokers
        return [first, first_broker, leader, second_broker, second]

    def _replace(self, node: Node) -> None:
        cluster = self._cluster
        cluster.stop(node)
        self._change()  # while it is away
        self._check_brokers()
        node.start(self._builds.other(node.build))
        self._wait_ready(cluster.brokers)
        self._check_core()
        self._change()
        self._check_brokers()
        if node in cluster.brokers:
            self._check_aids()
        self.findings.add(replaced=1)

    def _restart_core(self) -> None:
        """All registries end and start again; what was acknowledged comes from their disks."""
        for node in self._cluster.registries:
            node.ask_to_end()
        for node in self._cluster.registries:
            self._cluster.wait_ended(node)
        for node in self._cluster.registries:
            node.start(node.build)
        self._check_core()

    def _check_core(self) -> None:
        """The core is settled, its members are those of the beginning, and the newest is held."""
        view = self._cluster.wait_settled(self._newest().version, self._builds.both())
        if view.member_ids() != self._member_ids:
            self.findings.fault(f"members {view.member_ids()} instead of {self._member_ids}: "
                                "a data folder was not taken over")
        self._read_back()

    def _newest(self) -> Configuration:
        return self._acknowledged[-1]

    def _change(self) -> None:
        """Puts the next configuration and reads it back through every registry that runs."""
        configuration = make_configuration(len(self._acknowledged) + 1)
        told = self._operator.put(configuration, first=configuration.version)
        self._in_force_by = Deadline(TAKE_EFFECT_MS / 1000, self._overall)
        if told.get("taken") is not True:
            self.findings.fault(f"version {configuration.version} was answered with {told}")
        self._acknowledged.append(configuration)
        self.findings.add(configurations=1)
        self._read_back()

    def _read_back(self) -> None:
        for node in self._cluster.registries:
            if not node.is_running():
                continue
            newest = self._newest()
            if self._operator.read(node.spec.host) != newest.body:
                self.findings.fault(f"{node.spec.name} gave back other bytes than those of "
                                    f"version {newest.version}")
            self.findings.add(read_back=1)

    def _wait_ready(self, brokers: list[Node]) -> None:
        for node in brokers:
            Deadline(_READY_S, self._overall).wait_until(
                lambda host=node.spec.host: self._traffic.is_in(host), f"{node.spec.name} ready")

    def _check_brokers(self) -> None:
        """Every broker that runs is at the newest version and serves every kind of request."""
        running = [node for node in self._cluster.brokers if node.is_running()]
        self._check_in_force(running)
        self._check_standing(running)

    def _check_in_force(self, brokers: list[Node]) -> None:
        """The route that the newest version alone has is served within the bound."""
        prefix = version_prefix(self._newest().version)
        for node in brokers:
            self._in_force_by.wait_until(
                lambda host=node.spec.host: self._is_served(host, RouteKind.PLAIN, prefix),
                f"version {self._newest().version} in force at {node.spec.name}")

    def _check_standing(self, brokers: list[Node]) -> None:
        """Every kind of request is served."""
        for node in brokers:
            for kind in RouteKind:
                Deadline(_PROBE_S, self._overall).wait_until(
                    lambda host=node.spec.host, kind=kind: self._is_served(host, kind),
                    f"{kind.value} served at {node.spec.name}")

    def _check_aids(self) -> None:
        """Each broker gathers for the other one, whose region lacks half of the shards."""
        for node in self._cluster.brokers:
            host = node.spec.host
            before = count_aids(host)
            Deadline(_AIDS_S, self._overall).wait_until(
                lambda host=host, before=before: count_aids(host) > before,
                f"{node.spec.name} ({node.build.label}) gathers for the other broker")
            self.findings.add(aids=count_aids(host) - before)

    def _is_served(self, host: str, kind: RouteKind, prefix: str | None = None) -> bool:
        request = make_request(kind, prefix)
        verdict = self._traffic.send(host, request, may_be_unknown=prefix is not None)
        return verdict is Verdict.SERVED

    def _check_tracers(self) -> None:
        version = self._newest().version
        for build in self._builds.both():
            if not can_trace(build, version, self._cluster.contacts):
                self.findings.fault(f"the tracer of the {build.label} build lost {version}")

    def _check_all_kept(self) -> None:
        """Every acknowledged configuration is sent again and must be known as taken."""
        for configuration in self._acknowledged:
            told = self._operator.put(configuration, first=configuration.version)
            is_newest = configuration is self._newest()
            if told.get("taken") is not True or told.get("superseded") is is_newest:
                self.findings.fault(f"version {configuration.version} is no more: {told}")
        self._read_back()

    def _check_ledger(self) -> None:
        for fault in self._ledger.faults(self._traffic.once_ids()):
            self.findings.fault(fault)
        counts = self.findings.counts
        if counts.refused > counts.sent * _MOST_REFUSED_SHARE:
            self.findings.fault(f"{counts.refused} of {counts.sent} requests refused")
