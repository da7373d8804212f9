"""Plots goodput over time as SVG."""

WIDTH, HEIGHT, MARGIN = 900, 260, 50
STEP_S = 0.5


def series(rows):
    """Returns (time, share completed in time) for each step of the plot."""
    offered, completed = {}, {}
    for row in rows:
        interval = int(row[1] / STEP_S)
        offered[interval] = offered.get(interval, 0) + 1
        completed[interval] = completed.get(interval, 0) + bool(row[4])
    return [(interval * STEP_S, completed[interval] / offered[interval])
            for interval in sorted(offered)]


def write_plot(path, runs, storm_start, storm_end):
    """Writes one curve per run, named `member, label`; shades the storm."""
    end = max((row[1] for rows in runs.values() for row in rows), default=1)
    members = sorted({name.split(",")[0] for name in runs})
    colours = {"ours": "#1b6ca8", "no control": "#c0392b"}

    def x_of(second):
        return MARGIN + second / end * (WIDTH - 2 * MARGIN)

    parts = []
    for index, member in enumerate(members):
        top = MARGIN + index * HEIGHT

        def y_of(value, top=top):
            return top + (1 - value) * (HEIGHT - MARGIN)

        parts.append(
            f'<rect x="{x_of(storm_start):.1f}" y="{top}" '
            f'width="{x_of(storm_end) - x_of(storm_start):.1f}" '
            f'height="{HEIGHT - MARGIN}" fill="#f3e9d2"/>')
        parts.append(f'<text x="{MARGIN}" y="{top - 8}">{member}: share of '
                     'requests completed in time (storm shaded)</text>')
        for value in (0, 0.5, 1):
            parts.append(f'<text x="8" y="{y_of(value) + 4:.1f}">'
                         f'{value:.0%}</text>')
        for line, (label, colour) in enumerate(colours.items()):
            rows = runs.get(f"{member}, {label}")
            if not rows:
                continue
            points = " ".join(f"{x_of(second):.1f},{y_of(value):.1f}"
                              for second, value in series(rows))
            parts.append(f'<polyline points="{points}" fill="none" '
                         f'stroke="{colour}" stroke-width="2"/>')
            parts.append(f'<text x="{WIDTH - 120}" y="{top + 14 + line * 16}"'
                         f' fill="{colour}">{label}</text>')
    height = MARGIN + len(members) * HEIGHT
    path.write_text(
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{height}" font-family="sans-serif" font-size="13">'
        + "".join(parts) + "</svg>\n")
