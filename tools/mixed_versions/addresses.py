"""Loopback addresses: every machine of a cluster has its own; ports are alike on all of them."""
import os
from dataclasses import dataclass

FRONT_PORT = 21180
READY_PORT = 21181
CONTROL_PORT = 21182
SPARE_PORTS = (21190, 21195)
BACKEND_PORT = 21183
PLATFORM_PORT = 21184

_FIRST_NETWORK = 64
_NETWORKS = 64


@dataclass(frozen=True)
class Network:
    """The addresses of one cluster; those of other clusters and of other runs differ."""

    pairing_number: int

    def host(self, machine: int) -> str:
        """The address of a machine, counted from 1."""
        run_number = os.getpid()
        second = _FIRST_NETWORK + run_number % _NETWORKS
        third = (run_number // _NETWORKS * 8 + self.pairing_number) % 256
        return f"127.{second}.{third}.{machine}"
