#!/usr/bin/env python3
"""Fits straight lines to the runs of capacity_sweep.sh and tries them on the runs held out."""
import json
import sys

MEASURES = [
    "registry_cores",
    "registry_mb",
    "bytes_out_per_broker_s",
    "bytes_in_per_broker_s",
    "broker_cores",
    "broker_mb",
    "held_by_all_ms",
]


def fit(points):
    """Least squares: offset and slope."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return mean_y - slope * mean_x, slope


def main():
    if len(sys.argv) != 2:
        print("usage: capacity_fit.py RUNS", file=sys.stderr)
        return 2
    with open(sys.argv[1], encoding="utf-8") as lines:
        runs = [json.loads(line) for line in lines if line.strip()]
    plain = [
        run
        for run in runs
        if not run["changes_per_s"] and not run["edge_cells"] and not run["replacements_per_s"]
    ]
    sweeps = {
        "brokers": [run for run in plain if run["backends"] == 400 and run["brokers"] <= 400],
        "backends": [run for run in plain if run["brokers"] == 100 and run["backends"] <= 3200],
        "changes_per_s": [
            run
            for run in runs
            if run["changes_per_s"] and run["routes"] == 300 and run["brokers"] == 200
        ],
        "edge_cells": [run for run in runs if run["edge_cells"] and run["brokers"] == 100],
        "replacements_per_s": [run for run in runs if run["replacements_per_s"]]
        + [run for run in plain if run["brokers"] == 200 and run["backends"] == 400],
        "packed_bytes": [
            run for run in runs if 0.5 < run["changes_per_s"] < 1.5 and run["brokers"] == 100
        ],
    }
    lines = {}
    for size, sweep in sweeps.items():
        for measure in MEASURES:
            points = [(run[size], run[measure]) for run in sweep if run[measure] is not None]
            if len(points) < 3:
                continue
            lines[size, measure] = fit(points)
            offset, slope = lines[size, measure]
            print(
                f"{size:20} {measure:24} offset {offset:12.4f} slope {slope:14.8f}"
                f" from {len(points)} runs"
            )
    print()
    for run in plain:
        if run["brokers"] <= 400 and run["backends"] <= 3200:
            continue
        for measure in MEASURES[:4]:
            offset, by_brokers = lines["brokers", measure]
            foretold = (
                offset
                + by_brokers * run["brokers"]
                + lines["backends", measure][1] * (run["backends"] - 400)
            )
            print(
                f"held out: {run['brokers']} brokers, {run['backends']} backends: {measure:24}"
                f" foretold {foretold:10.3f} measured {run[measure]:10.3f}"
            )
    for run in runs:
        if run["changes_per_s"] > 5:
            for measure in ("registry_cores", "bytes_out_per_broker_s"):
                offset, slope = lines["changes_per_s", measure]
                scale = run["brokers"] / 200 if measure == "registry_cores" else 1
                foretold = offset + slope * scale * run["changes_per_s"]
                print(
                    f"held out: {run['changes_per_s']:.1f} changes/s, {run['brokers']} brokers:"
                    f" {measure:24} foretold {foretold:10.3f} measured {run[measure]:10.3f}"
                )
        if run["edge_cells"] > 400:
            for measure in ("registry_cores", "bytes_in_per_broker_s"):
                offset, slope = lines["edge_cells", measure]
                scale = run["brokers"] / 100 if measure == "registry_cores" else 1
                foretold = offset + slope * scale * run["edge_cells"]
                print(
                    f"held out: {run['edge_cells']} cells, {run['brokers']} brokers: {measure:24}"
                    f" foretold {foretold:10.3f} measured {run[measure]:10.3f}"
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
