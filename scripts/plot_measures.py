#!/usr/bin/env python3
"""Draws an SVG bar chart for each measure from lines of measure-policies.

Usage: measure-policies | scripts/plot_measures.py [FOLDER]   (docs/charts)
"""

import pathlib
import re
import sys

LINE = re.compile(
    r"measure=(\S+) policy=(\S+) value=(\S+) unit=(\S+) target=(\S+)"
)
COLOURS = {"product": "#2b6cb0", "least_wait": "#8a6d3b", "baseline": "#999999"}
WIDTH, BAR, GAP, LEFT, TOP = 480, 22, 8, 90, 34
SPAN = WIDTH - LEFT - 80


def read(lines):
    measures = {}
    for line in lines:
        found = LINE.match(line)
        if found:
            name, policy, value, unit, target = found.groups()
            entry = measures.setdefault(name, (unit, target, []))
            entry[2].append((policy, float(value)))
    return measures


def chart(name, unit, target, values):
    bound = re.sub(r"[<>=]", "", target)
    limit = float(bound) if bound != "none" else None
    top = max([value for _, value in values] + [limit or 0]) or 1
    height = TOP + len(values) * (BAR + GAP) + 10
    text = target.replace("<", "&lt;").replace(">", "&gt;")
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{height}" font-family="sans-serif" font-size="12">',
        f'<text x="8" y="18">{name} ({unit}, target {text})</text>',
    ]
    for row, (policy, value) in enumerate(values):
        y = TOP + row * (BAR + GAP)
        length = max(1, SPAN * value / top)
        colour = COLOURS.get(policy, "#555555")
        parts += [
            f'<text x="8" y="{y + 15}">{policy}</text>',
            f'<rect x="{LEFT}" y="{y}" width="{length:.1f}" height="{BAR}" '
            f'fill="{colour}"/>',
            f'<text x="{LEFT + length + 4:.1f}" y="{y + 15}">{value:g}</text>',
        ]
    if limit is not None:
        x = LEFT + SPAN * limit / top
        parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{TOP - 6}" '
            f'y2="{height - 8}" stroke="#c0392b" stroke-dasharray="4 3"/>'
        )
    return "\n".join(parts + ["</svg>"]) + "\n"


def main():
    folder = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "docs/charts")
    folder.mkdir(parents=True, exist_ok=True)
    for name, (unit, target, values) in read(sys.stdin).items():
        # Figures without a target only explain others.
        if target != "none":
            (folder / f"{name}.svg").write_text(
                chart(name, unit, target, values)
            )


main()
