#!/usr/bin/env python3
"""Draws an SVG bar chart for each measure from lines of measure-policies.

Usage: measure-policies | scripts/plot_measures.py [FOLDER]   (docs/charts)
"""

import pathlib
import re
import sys

FIGURE_LINE = re.compile(
    r"measure=(\S+) policy=(\S+) value=(\S+) unit=(\S+) target=(\S+)"
)
POLICY_COLOURS = {"product": "#2b6cb0", "least_wait": "#8a6d3b", "baseline": "#999999"}
# Sizes of the chart in pixels.
CHART_WIDTH, BAR_HEIGHT, BAR_GAP, LEFT_MARGIN, TOP_MARGIN = 480, 22, 8, 90, 34
MAX_BAR_LENGTH = CHART_WIDTH - LEFT_MARGIN - 80


def parse_figures(lines):
    measures = {}
    for line in lines:
        match = FIGURE_LINE.match(line)
        if match:
            name, policy, value, unit, target = match.groups()
            measure = measures.setdefault(name, (unit, target, []))
            measure[2].append((policy, float(value)))
    return measures


def render_chart(name, unit, target, values):
    target_number = re.sub(r"[<>=]", "", target)
    target_value = float(target_number) if target_number != "none" else None
    max_value = max([value for _, value in values] + [target_value or 0]) or 1
    height = TOP_MARGIN + len(values) * (BAR_HEIGHT + BAR_GAP) + 10
    target_text = target.replace("<", "&lt;").replace(">", "&gt;")
    elements = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{CHART_WIDTH}" '
        f'height="{height}" font-family="sans-serif" font-size="12">',
        f'<text x="8" y="18">{name} ({unit}, target {target_text})</text>',
    ]
    for row, (policy, value) in enumerate(values):
        y = TOP_MARGIN + row * (BAR_HEIGHT + BAR_GAP)
        bar_length = max(1, MAX_BAR_LENGTH * value / max_value)
        colour = POLICY_COLOURS.get(policy, "#555555")
        elements += [
            f'<text x="8" y="{y + 15}">{policy}</text>',
            f'<rect x="{LEFT_MARGIN}" y="{y}" width="{bar_length:.1f}" '
            f'height="{BAR_HEIGHT}" fill="{colour}"/>',
            f'<text x="{LEFT_MARGIN + bar_length + 4:.1f}" y="{y + 15}">'
            f'{value:g}</text>',
        ]
    if target_value is not None:
        x = LEFT_MARGIN + MAX_BAR_LENGTH * target_value / max_value
        elements.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{TOP_MARGIN - 6}" '
            f'y2="{height - 8}" stroke="#c0392b" stroke-dasharray="4 3"/>'
        )
    return "\n".join(elements + ["</svg>"]) + "\n"


def main():
    folder = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "docs/charts")
    folder.mkdir(parents=True, exist_ok=True)
    for name, (unit, target, values) in parse_figures(sys.stdin).items():
        # A figure without a target gets no chart: it only explains other figures.
        if target != "none":
            (folder / f"{name}.svg").write_text(
                render_chart(name, unit, target, values)
            )


main()
