#!/usr/bin/env python3
"""Days of our own for the bench, made out of a site file.

    tools/days.py SITE --out DIR [--seed N] [--only POINT,...]
                  [--bench BENCH [--play [--jobs N] [--why TEXT]]]

Writes DIR/POINT-N.toml, each a day that `BENCH run SITE DIR/POINT-N.toml` takes:

    cut      a core machine away for most of the day: both ways, one way, the leader, with new
             seeds on its side, frozen
    order    two operators on one version, acknowledgements lost, orders sent again, over leaders
             that are killed
    loss     a further loss right after a repair, a replacement, a removal, a disk that came back
             empty
    changes  hundreds of changes with members away, wiped, on slow, stalled and full disks
    answer   answers spoilt, late, twice, lost; connections reset, processes frozen; addresses
             given to others
    upgrade  the system's own programs replaced, beside lost leaders, disks in trouble, changes in
             quick succession, machines added, frozen and replaced, and losses in its middle

Load, marks, strengths and spans are the site's: what this script knows of a site is what the file
says. With --bench, kinds that the bench does not list for the site are left out, and named. --play
plays every day that was written, one after the other, and ends with 1 if any did not pass.
"""
import argparse
import pathlib
import random
import subprocess
import sys
import tomllib


def toml_value(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, list):
        return "[" + ", ".join(map(toml_value, value)) + "]"
    return "{ " + ", ".join(f"{key} = {toml_value(item)}" for key, item in value.items()) + " }"


class Site:
    """What the days are made of, all read from the site file."""

    def __init__(self, path, kinds):
        site = tomllib.loads(pathlib.Path(path).read_text())
        self.length = site["length_s"]
        self.in_touch = site["bounds"]["touch_ms"] / 1000
        self.acknowledged = site["bounds"]["ack_ms"] / 1000
        self.back = site["timing"]["catch_up_s"]
        self.can_lose = max(1, site["tolerate"]["machines"])
        self.largest = max(
            (item.get("count", 0) for item in site["troubles"] if item["kind"] == "big_config"),
            default=0,
        )
        self.first = {}  # of each kind, the strengths that the site gives it
        for item in site["troubles"]:
            self.first.setdefault(
                item["kind"], {name: item[name] for name in ("share", "count", "x") if name in item}
            )
        self.base = next((day for day in site["day"] if day["slot"] == "trouble"), site["day"][0])
        self.endings = [day["closing"] for day in site["day"] if "closing" in day]
        self.kinds = kinds
        self.left_out = set()

    def at(self, part):
        return round(self.length * part, 2)

    def entry(self, part, kind, **fields):
        if self.kinds and kind not in self.kinds:
            self.left_out.add(kind)
            return []
        strengths = {} if fields.pop("is_plain", False) else self.first.get(kind, {})
        if "count" in fields or "share" in fields:
            strengths = {
                name: value for name, value in strengths.items() if name not in ("count", "share")
            }
        return [{"at": self.at(part), "kind": kind, **strengths, **fields}]


def cut_days(site):
    away = round(site.length * 0.55, 1)
    changes = (
        site.entry(0.1, "config_change", how="idle")
        + site.entry(0.3, "config_race", count=2, gap_s=1.5)
        + site.entry(0.72, "config_change", how="route")
        + site.entry(0.9, "config_change", how="timeout")
    )
    core = {"on": "core", "count": 1}
    for how in (
        "",
        "one_way",
        "leader",
        "leader one_way race",
        "seeds",
        "both",
        "leader meet",
        "reset race",
    ):
        yield changes, site.entry(0.08, "core_cut", count=1, for_s=away, how=how)
    # The leader stands still, another takes over, and the first wakes as if nothing had been;
    # twice.
    yield changes, (
        site.entry(0.12, "node_freeze", **core, for_s=site.in_touch, how="leader race")
        + site.entry(
            0.45, "node_freeze", **core, for_s=round(site.in_touch / 2, 2), how="leader race"
        )
        + site.entry(0.7, "core_cut", count=1, for_s=site.in_touch, how="leader race")
    )
    yield changes, (
        site.entry(0.05, "seed_turnover")
        + site.entry(0.1, "core_cut", count=1, for_s=away, how="seeds")
        + site.entry(0.4, "clock_step", for_s=site.in_touch, how="leader")
        + site.entry(0.75, "core_cut", count=1, for_s=site.in_touch, how="one_way")
    )


def order_days(site):
    core = {"on": "core", "count": 1}
    whole = round(site.length * 0.6, 1)
    lost = site.entry(0.05, "ack_lost", for_s=whole)
    races = site.entry(0.07, "config_race", count=max(4, int(whole / 1.5)), gap_s=1.5)
    stale = site.entry(0.3, "bad_config", count=3, gap_s=1.0, how="old_version") + site.entry(
        0.5, "bad_config", count=3, gap_s=1.0, how="same_version"
    )
    for how in ("leader race", "leader race hard", "power leader race", "meet drain"):
        kills = [
            entry
            for part in (0.12, 0.38, 0.64)
            for entry in site.entry(
                part, "node_kill", **core, for_s=round(site.back / 2, 2), how=how
            )
        ]
        yield races + stale + site.entry(0.85, "config_change", how="route"), lost + kills
    yield races + stale, lost + site.entry(0.15, "after_ack_kill", how="timed") + site.entry(
        0.4, "after_ack_kill", how="kill"
    ) + site.entry(0.62, "core_cut", count=1, for_s=site.in_touch, how="leader race")


def loss_days(site):
    step = (
        site.in_touch + site.back
    ) / site.length  # how soon after a repair the next loss may come
    core = {"on": "core", "count": site.can_lose}
    changes = (
        site.entry(0.08, "config_change", how="idle")
        + site.entry(0.3, "config_storm", for_s=3.0, gap_s=0.3)
        + site.entry(0.6, "config_change", how="route")
        + site.entry(0.9, "config_change", how="idle")
    )
    for first, last in (
        ("planned", "power"),
        ("", "power"),
        ("planned", "leader"),
        ("", "leader race"),
    ):
        yield changes, (
            site.entry(0.1, "replace_core", x=1.0, how=first)
            + site.entry(0.1 + step, "node_kill", **core, for_s=site.back, how=last)
            + site.entry(0.1 + 2 * step, "after_ack_wipe", for_s=round(site.back / 2, 2))
        )
    yield changes + site.entry(
        0.12, "roll_term", on="core", share=0.4, x=1.0, gap_s=site.back, how="remove"
    ), site.entry(
        0.12 + step, "node_kill", **core, for_s=site.back, how="power leader"
    ) + site.entry(
        0.75, "after_ack_wipe", for_s=1.0
    )
    yield changes, (
        site.entry(0.1, "after_ack_wipe", for_s=1.0)
        + site.entry(0.1 + step, "after_ack_wipe", for_s=1.0)
        + site.entry(0.1 + 2 * step, "herd_kill", on="core", share=1.0, for_s=1.0, how="power")
    )
    yield changes, (
        site.entry(0.15, "herd_kill", on="core", share=1.0, for_s=1.0, how="taken")
        + site.entry(0.15 + step, "replace_core", x=1.0)
        + site.entry(0.15 + 2 * step, "after_ack_kill", how="timed")
    )


def changes_days(site):
    many = {"for_s": round(site.length * 0.7, 1), "gap_s": round(site.length * 0.7 / 300, 3)}
    storm = site.entry(0.08, "config_storm", **many)
    if not storm:  # not listed for this site: the same changes one by one
        storm = [
            entry
            for number in range(300)
            for entry in site.entry(
                0.08 + 0.7 * number / 300,
                "config_change",
                how=("idle", "route", "timeout", "weights")[number % 4],
            )
        ]
    big = site.entry(0.05, "big_config", count=site.largest) if site.largest else []
    half = round(site.length * 0.4, 1)
    core = {"on": "core", "count": 1}
    yield storm, site.entry(0.1, "node_kill", **core, for_s=half, how="power") + site.entry(
        0.65, "node_kill", **core, for_s=site.back, how="leader"
    )
    yield storm, site.entry(0.15, "after_ack_wipe", for_s=site.back) + site.entry(
        0.5, "core_cut", count=1, for_s=site.in_touch, how="leader"
    )
    for kind, how in (
        ("disk_slow", "leader"),
        ("disk_stall", "leader"),
        ("disk_full", ""),
        ("disk_slow", ""),
    ):
        yield storm + big, (
            site.entry(0.12, kind, count=1, for_s=half, how=how)
            + site.entry(0.62, "disk_full", count=1, for_s=site.back)
            + site.entry(0.8, "node_kill", **core, for_s=2.0, how="leader")
        )
    yield storm + big, site.entry(0.1, "core_cut", count=1, for_s=half, how="one_way") + site.entry(
        0.6, "after_ack_wipe", for_s=site.back
    )


def answer_days(site):
    span = round(site.length * 0.3, 1)
    change = site.entry(0.3, "config_change", how="route") + site.entry(
        0.85, "config_change", how="idle"
    )
    late = site.entry(0.06, "garble", how="extra late", for_s=span)
    lost = site.entry(0.1, "answer_lost", how="reset", for_s=span)
    resets = site.entry(0.12, "reset_conns", gap_s=1.0) + site.entry(0.25, "reset_conns", gap_s=1.0)
    frozen = site.entry(0.2, "node_freeze", for_s=2.0) + site.entry(
        0.5, "node_freeze", for_s=site.in_touch
    )
    hup = site.entry(0.35, "hup", gap_s=2.0)
    yield change + hup, late + lost + resets
    for how in ("", "drain", "dark"):
        yield change, late + lost + site.entry(0.15, "replace_with_reuse", how=how) + site.entry(
            0.45, "replace_with_reuse", how=how
        ) + frozen
    yield change + hup + site.entry(
        0.5, "roll_term", how="busy", gap_s=1.0
    ), late + lost + site.entry(0.45, "garble", how="extra", for_s=span) + site.entry(
        0.5, "answer_lost", for_s=span
    ) + resets + frozen
    yield change + hup, (
        site.entry(0.06, "garble", for_s=span)
        + site.entry(0.1, "srv_grey", how="mute", for_s=span)
        + site.entry(0.4, "srv_grey", how="reset", for_s=span)
        + site.entry(0.45, "replace_with_reuse")
        + resets
        + frozen
    )


def upgrade_days(site):
    """Of sites with a version in production; the bench may list the kind for those alone."""
    core = {"on": "core", "count": 1}
    slow = site.entry(0.06, "upgrade", gap_s=2.0, x=4.0)
    quick = site.entry(0.06, "upgrade", gap_s=0.8, x=8.0)
    storm = site.entry(0.1, "config_storm", for_s=round(site.length * 0.4, 1), gap_s=0.4)
    yield slow, (
        site.entry(0.12, "node_kill", **core, for_s=site.back, how="leader race")
        + site.entry(0.35, "node_kill", **core, for_s=site.back, how="leader meet")
        + site.entry(0.6, "after_ack_wipe", for_s=1.0)
    )
    yield slow + storm, (
        site.entry(0.1, "disk_full", count=1, for_s=site.back)
        + site.entry(0.3, "disk_stall", count=1, for_s=site.in_touch, how="leader")
        + site.entry(0.55, "disk_slow", count=1, for_s=site.back)
    )
    yield quick + storm, site.entry(0.15, "replace_core", x=1.0) + site.entry(
        0.5, "replace_core", x=2.0, how="planned"
    )
    yield quick + site.entry(0.2, "add_nodes") + site.entry(
        0.1, "config_race", count=6, gap_s=1.5
    ), site.entry(0.12, "node_freeze", for_s=site.in_touch / 2) + site.entry(
        0.3, "node_freeze", **core, for_s=site.in_touch, how="leader race"
    )
    yield slow + site.entry(0.1, "config_change", how="route"), (
        site.entry(0.12, "herd_kill", on="core", share=1.0, for_s=1.0, how="taken")
        + site.entry(0.5, "herd_kill", on="core", share=1.0, for_s=1.0, how="power")
    )
    yield slow + site.entry(0.3, "hup", gap_s=1.0), site.entry(
        0.12, "core_cut", count=1, for_s=site.in_touch, how="leader race"
    ) + site.entry(0.5, "core_cut", for_s=site.in_touch, how="split")


POINTS = {
    "cut": cut_days,
    "order": order_days,
    "loss": loss_days,
    "changes": changes_days,
    "answer": answer_days,
    "upgrade": upgrade_days,
}


def write_days(site, points, seed, folder):
    folder.mkdir(parents=True, exist_ok=True)
    written = []
    for point in points:
        for number, (plan, faults) in enumerate(POINTS[point](site), 1):
            if not faults:
                continue
            luck = random.Random(f"{seed} {point} {number}")
            day = dict(
                site.base,
                name=f"{point}-{number}",
                seed=luck.randrange(1, 1 << 30),
                plan=plan,
                faults=faults,
            )
            day.pop("closing", None)
            if site.endings and number % 2:
                day["closing"] = luck.choice(site.endings)
            path = folder / f"{point}-{number}.toml"
            path.write_text(
                "".join(f"{name} = {toml_value(value)}\n" for name, value in day.items())
            )
            written.append(path)
    return written


def listed_kinds(bench, site):
    text = subprocess.run([bench, "kinds", site], check=True, capture_output=True, text=True).stdout
    return {
        line.split(":")[0]
        for line in text.splitlines()
        if ":" in line and line.split(":")[0].replace("_", "").isalpha()
    }


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("site")
    parser.add_argument("--out", required=True, type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default=",".join(POINTS))
    parser.add_argument("--bench")
    parser.add_argument("--play", action="store_true")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--why", default="days of our own")
    options = parser.parse_args()
    points = options.only.split(",")
    if unknown := [point for point in points if point not in POINTS]:
        parser.error(f"no such point: {', '.join(unknown)}; there are {', '.join(POINTS)}")
    if options.play and not options.bench:
        parser.error("--play needs --bench")
    site = Site(options.site, listed_kinds(options.bench, options.site) if options.bench else set())
    written = write_days(site, points, options.seed, options.out)
    for path in written:
        print(path)
    if site.left_out:
        print(
            "left out, not listed for this site:", ", ".join(sorted(site.left_out)), file=sys.stderr
        )
    if not options.play:
        return 0
    failed = []
    for path in written:
        print(f"== {path.name}", flush=True)
        call = [
            options.bench,
            "run",
            options.site,
            str(path),
            "--jobs",
            str(options.jobs),
            "--why",
            f"{options.why}: {path.name}",
        ]
        if subprocess.run(call).returncode:
            failed.append(path.name)
    print("failed:", ", ".join(failed) if failed else "none")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
