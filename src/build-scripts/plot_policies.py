#!/usr/bin/env python3
"""Plots the p99 latency of urgent requests over the load as an SVG, one line per policy.

Usage: plot_policies.py CSV SVG
"""
import csv
import math
import sys

WIDTH, HEIGHT, MARGIN = 760, 420, 60
COLOURS = {
    "random": "#999999",
    "round-robin": "#8c6d31",
    "least-requests": "#1f77b4",
    "two-choices": "#9467bd",
    "probing": "#d62728",
    "central-queue": "#000000",
    "owner": "#2ca02c",
    "owner-in-transit": "#17becf",
}
LOW_MS, HIGH_MS = 50.0, 600.0


def read_points(path):
    points = {}
    with open(path, newline="") as source:
        for row in csv.DictReader(source):
            if (row["scenario"], row["one_way_ms"], row["hosts"]) == ("noise", "0.5", "29"):
                points.setdefault(row["policy"], []).append(
                    (float(row["load"]), float(row["urgent_p99_ms"])))
    return points


def x_of(load):
    return MARGIN + (load - 50) / 45 * (WIDTH - 2 * MARGIN - 120)


def y_of(milliseconds):
    fraction = math.log(milliseconds / LOW_MS) / math.log(HIGH_MS / LOW_MS)
    return HEIGHT - MARGIN - fraction * (HEIGHT - 2 * MARGIN)


def draw(points):
    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        'font-family="sans-serif" font-size="12">',
        '<rect width="100%" height="100%" fill="white"/>',
        f'<text x="{MARGIN}" y="30">Urgent p99 in ms over offered load in %, 29 entry hosts, '
        '0.5 ms one way</text>',
    ]
    for milliseconds in (50, 100, 200, 500):
        y = y_of(milliseconds)
        lines.append(f'<line x1="{MARGIN}" x2="{x_of(95):.0f}" y1="{y:.0f}" y2="{y:.0f}" stroke="#dddddd"/>')
        lines.append(f'<text x="{MARGIN - 35}" y="{y + 4:.0f}">{milliseconds}</text>')
    for load in (50, 70, 80, 90, 95):
        lines.append(f'<text x="{x_of(load) - 8:.0f}" y="{HEIGHT - MARGIN + 20}">{load}</text>')
    legend = MARGIN
    for policy, colour in COLOURS.items():
        series = sorted(points.get(policy, []))
        path = " ".join(f"{x_of(load):.1f},{y_of(ms):.1f}" for load, ms in series)
        lines.append(f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="2"/>')
        lines.append(f'<rect x="{WIDTH - 150}" y="{legend - 9}" width="12" height="4" fill="{colour}"/>')
        lines.append(f'<text x="{WIDTH - 132}" y="{legend}">{policy}</text>')
        legend += 20
    lines.append("</svg>")
    return "\n".join(lines) + "\n"


def main():
    points = read_points(sys.argv[1])
    if not points:
        sys.exit(f"{sys.argv[1]}: no rows for the plot; run policy_bench without --hosts")
    with open(sys.argv[2], "w") as target:
        target.write(draw(points))


if __name__ == "__main__":
    main()
