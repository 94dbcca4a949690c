"""The command: runs seeds or a schedule, shrinks a schedule, prints a line for each run."""
import argparse
import asyncio
import collections
import os
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from mixed_versions.builds import Build
from soak.backends import BACKEND_COUNT
from soak.cluster import Builds
from soak.database_scenario import DATABASE_COUNT, DatabaseScenario
from soak.replacements import NEW, OLD
from soak.scenario import Result, Scenario
from soak.shrink import shrink
from soak.troubles import DATABASE_DRAWING, Schedule, draw_schedule, read_schedule

_RUN_LIMIT_S = 150.0


def _parse_seeds(text: str) -> range:
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)


def _read_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="soak.sh", description="Runs clusters under overlapping troubles and judges them.")
    parser.add_argument("--program", type=Path, required=True, help="the build under test")
    parser.add_argument("--old-program", type=Path,
                        help="another build: every node begins with it and is replaced")
    parser.add_argument("--faults", type=Path, required=True,
                        help="the library of tests/soak/network_faults.cpp")
    parser.add_argument("--seeds", type=_parse_seeds, default=range(1, 2), metavar="A..B")
    parser.add_argument("--seed", type=int, help="one seed, in this process")
    parser.add_argument("--minutes", type=float, help="begin no further seed after so long")
    parser.add_argument("--databases", action="store_true",
                        help="poolers and databases in place of brokers and backends")
    parser.add_argument("--groups", type=int, default=3, help="groups of overlapping troubles")
    parser.add_argument("--replay", type=Path, help="a schedule written by --report or --shrink")
    parser.add_argument("--shrink", type=Path, help="a schedule: finds the fewest troubles")
    parser.add_argument("--rule", help="with --shrink: the rule that must still be broken")
    parser.add_argument("--jobs", type=int, default=2, help="runs at a time")
    parser.add_argument("--max-resident-mb", type=int, default=256,
                        help="of a node at the end; a build with sanitizers needs more")
    parser.add_argument("--report", type=Path, help="folder for schedules and logs of findings")
    options = parser.parse_args()
    for path in (options.program, options.faults, options.old_program):
        if path is not None and not path.is_file():
            parser.error(f"{path} is no file")
    return options


def _times_line(history) -> str:
    parts = []
    for name, seconds in sorted(history.times.items()):
        ordered = sorted(seconds)
        middle = ordered[len(ordered) // 2]
        parts.append(f"{name} {middle:.2f}/{ordered[-1]:.2f} s")
    return ", ".join(parts)


def _reasons_line(history) -> str:
    """Why requests failed, as the brokers told it."""
    reasons = collections.Counter(
        line.partition('reason="')[2].partition('"')[0] for line in history.explanations.values())
    return ", ".join(f"{reason} {count}" for reason, count in reasons.most_common())


def _outcome(result: Result) -> str:
    outcome = "passed" if not result.violations else f"FAILED ({len(result.violations)})"
    return f"seed {result.schedule.seed}: {outcome}"


def _kinds_line(history) -> str:
    """The troubles that were played."""
    return " ".join(span.kind for span in history.spans)


def _builds_line(result: Result) -> str:
    """Which builds ran, if there were two."""
    if not result.schedule.replacements:
        return ""
    last = {life.node: life.build for life in result.history.lives}
    started = collections.Counter(life.build for life in result.history.lives)
    return (f"{len(result.schedule.replacements)} replaced, {started[OLD]} old and "
            f"{started[NEW]} new processes, {list(last.values()).count(NEW)} of {len(last)} new "
            f"at the end; ")


def _print(result: Result, seconds: float) -> None:
    history = result.history
    statuses = collections.Counter(attempt.status for attempt in history.attempts)
    print(f"{_outcome(result)}; {len(history.attempts)} requests "
          f"({statuses[200]} served, {statuses[503]} refused, {statuses[502]} and "
          f"{statuses[504]} failed, {statuses[0]} without an answer), {len(history.runs)} runs, "
          f"{sum(bool(put.acknowledged_at) for put in history.puts)} orders, "
          f"{len(history.reads)} reads; {_builds_line(result)}{_kinds_line(history)}; "
          f"{_times_line(history)}; "
          f"explained: {_reasons_line(history)}; {seconds:.0f} s",
          flush=True)
    _print_violations(result)


def _print_violations(result: Result) -> None:
    seen = collections.Counter()
    for violation in result.violations:
        seen[violation.rule] += 1
        if seen[violation.rule] <= 3:
            print(f"  {violation.rule}: {violation.text}", flush=True)
    for rule, count in seen.items():
        if count > 3:
            print(f"  {rule}: {count} in all", flush=True)


def _print_databases(result: Result, seconds: float) -> None:
    history = result.history
    codes = collections.Counter(statement.code or "done" for statement in history.statements)
    sync = int(any(promotion.is_synchronous for promotion in history.promotions))
    print(f"{_outcome(result)}; {len(history.statements)} statements "
          f"({', '.join(f'{count} {code}' for code, count in codes.most_common())}), sync {sync}, "
          f"{len(history.promotions)} promotions; {_builds_line(result)}{_kinds_line(history)}; "
          f"{seconds:.0f} s",
          flush=True)
    _print_violations(result)


def _draw(seed: int, options: argparse.Namespace) -> Schedule:
    if options.databases:
        schedule = draw_schedule(seed, DATABASE_COUNT, options.groups, DATABASE_DRAWING)
    else:
        schedule = draw_schedule(seed, BACKEND_COUNT, options.groups)
    return schedule.with_replacements() if options.old_program else schedule


def _run(schedule: Schedule, options: argparse.Namespace) -> Result:
    began = time.monotonic()
    old = Build(OLD, options.old_program.resolve()) if options.old_program else None
    builds = Builds(Build(NEW, options.program.resolve()), old)
    faults = options.faults.resolve()
    with tempfile.TemporaryDirectory(prefix="soak.") as folder:
        if options.databases:
            scenario = DatabaseScenario(schedule, builds, faults, Path(folder))
        else:
            scenario = Scenario(schedule, builds, faults, Path(folder), options.max_resident_mb)
        result = asyncio.run(asyncio.wait_for(scenario.run(), _RUN_LIMIT_S))
        (_print_databases if options.databases else _print)(result, time.monotonic() - began)
        if result.violations and options.report:
            _keep(Path(folder), result, options.report / f"seed-{schedule.seed}")
    return result


def _keep(folder: Path, result: Result, report: Path) -> None:
    """Keeps schedule, findings and logs."""
    shutil.rmtree(report, ignore_errors=True)
    report.mkdir(parents=True)
    (report / "schedule.json").write_text(result.schedule.to_json())
    (report / "findings.txt").write_text("".join(
        f"{violation.rule}: {violation.text}\n" for violation in result.violations))
    first = min(life.began_at for life in result.history.lives)
    (report / "spans.txt").write_text("".join(
        f"{span.began_at - first:8.3f} {span.ended_at - first:8.3f} {span.kind} "
        f"{' '.join(span.nodes)}\n" for span in result.history.spans))
    for log in folder.glob("*/log"):
        shutil.copy(log, report / f"{log.parent.name}.log")


def _run_apart(seeds: range, options: argparse.Namespace) -> int:
    """Each seed in a process of its own: addresses follow from its number."""
    until = time.monotonic() + options.minutes * 60 if options.minutes else None
    waiting = list(seeds)
    running: dict[subprocess.Popen, int] = {}
    failed, played = [], 0
    while waiting or running:
        while waiting and len(running) < options.jobs:
            if until and time.monotonic() > until:
                waiting.clear()
                break
            seed = waiting.pop(0)
            command = [sys.executable, "-B", "-m", "soak", "--program", str(options.program),
                       "--faults", str(options.faults), "--seed", str(seed),
                       "--groups", str(options.groups),
                       "--max-resident-mb", str(options.max_resident_mb)]
            if options.databases:
                command.append("--databases")
            if options.old_program:
                command += ["--old-program", str(options.old_program)]
            if options.report:
                command += ["--report", str(options.report)]
            running[subprocess.Popen(command, env=os.environ)] = seed
            played += 1
        for process in [process for process in running if process.poll() is not None]:
            seed = running.pop(process)
            if process.returncode != 0:
                failed.append(seed)
        time.sleep(0.05)
    print(f"{played - len(failed)} passed, {len(failed)} failed"
          + (f": seeds {sorted(failed)}" if failed else ""), flush=True)
    return 1 if failed else 0


def main() -> int:
    """Runs the command; returns its exit code."""
    options = _read_options()
    if options.shrink:
        schedule = read_schedule(options.shrink.read_text())
        smallest = shrink(schedule, lambda tried: {
            violation.rule for violation in _run(tried, options).violations}, options.rule)
        print(smallest.to_json(), end="")
        return 1 if smallest.troubles else 0
    if options.replay:
        return 1 if _run(read_schedule(options.replay.read_text()), options).violations else 0
    if options.seed is not None:
        return 1 if _run(_draw(options.seed, options), options).violations else 0
    return _run_apart(options.seeds, options)


if __name__ == "__main__":
    sys.exit(main())
