"""The command: runs every pairing of two builds and prints what came of each."""
import argparse
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from mixed_versions.addresses import Network
from mixed_versions.builds import Build, Pairing, all_pairings
from mixed_versions.deadline import Deadline
from mixed_versions.findings import Findings
from mixed_versions.scenario import BuildPair, Scenario

_OVERALL_S = 235.0
_POOLER_SEED = "1"  # every node is replaced, none is taken back


def _report(pairing: Pairing, findings: Findings, seconds: float) -> bool:
    counts = findings.counts
    is_passed = findings.fault_count() == 0
    outcome = "passed" if is_passed else f"failed ({findings.fault_count()} faults)"
    print(f"{pairing.name}: {outcome}; {counts.configurations} configurations put, "
          f"{counts.read_back} read back; {counts.sent} requests sent, {counts.served} served "
          f"({counts.gathered} gathered, {counts.aids} seen gathered for the other broker), "
          f"{counts.refused} refused, {counts.not_found} not yet known; "
          f"{counts.replaced} processes replaced; {seconds:.1f} s", flush=True)
    for fault in findings.faults:
        print(f"  fault: {fault}", flush=True)
    return is_passed


def _run(pairing: Pairing, builds: BuildPair, number: int, overall: Deadline) -> bool:
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="mixed_versions.") as folder:
        scenario = Scenario(pairing, builds, Network(number), Path(folder), overall)
        scenario.run()
        is_passed = _report(pairing, scenario.findings, time.monotonic() - began)
        if not is_passed:
            for name, tail in scenario.log_tails().items():
                print(f"  log of {name}:\n{tail}", file=sys.stderr, flush=True)
    return is_passed


def _run_poolers(first: Build, second: Build, faults: Path) -> bool:
    """Poolers and registries under the soak: every process of the first build is replaced."""
    print(f"poolers and registries, {first.label} replaced by {second.label}:", flush=True)
    command = [sys.executable, "-B", "-m", "soak", "--databases", "--groups", "1",
               "--seed", _POOLER_SEED, "--faults", str(faults),
               "--old-program", str(first.path), "--program", str(second.path)]
    return subprocess.run(command).returncode == 0


def _run_all_poolers(builds: BuildPair, faults: Path) -> bool:
    orders = ((builds.old, builds.new), (builds.new, builds.old))
    return all([_run_poolers(first, second, faults) for first, second in orders])


def _read_options() -> tuple[BuildPair, Path | None]:
    parser = argparse.ArgumentParser(
        prog="mixed_versions.sh",
        description="Runs two builds of saddlewing in one cluster, in every pairing.")
    parser.add_argument("old", type=Path, metavar="OLD", help="path of the old build")
    parser.add_argument("new", type=Path, metavar="NEW", help="path of the new build")
    parser.add_argument("--faults", type=Path, metavar="LIBRARY",
                        help="of tests/soak/network_faults.cpp: runs poolers and databases as well")
    read = parser.parse_args()
    if read.faults is not None and not read.faults.is_file():
        parser.error(f"{read.faults} is no file")
    for path in (read.old, read.new):
        if not os.access(path, os.X_OK) or not path.is_file():
            parser.error(f"{path} is not a program")
    builds = BuildPair(Build("old", read.old.resolve()), Build("new", read.new.resolve()))
    return builds, read.faults


def main() -> int:
    """Runs the command; returns its exit code."""
    builds, faults = _read_options()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))  # so that children are ended as well
    overall = Deadline(_OVERALL_S)
    passed = 0
    pairings = all_pairings(builds.old, builds.new)
    for number, pairing in enumerate(pairings):
        if overall.is_over():
            print(f"{pairing.name}: failed (not run, the time is over)", flush=True)
            continue
        passed += _run(pairing, builds, number, overall)
    is_passed = passed == len(pairings)
    outcome = "passed" if is_passed else "failed"
    print(f"{outcome}: {passed} of {len(pairings)} pairings", flush=True)
    if faults is not None:
        is_passed = _run_all_poolers(builds, faults) and is_passed
    return 0 if is_passed else 1


if __name__ == "__main__":
    sys.exit(main())
