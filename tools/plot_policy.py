"""Draws docs/latency.svg from a result file of `./run bench policy`: p99 of added latency by load."""
import sys
from pathlib import Path

COLOURS = {"round_robin": "#999999", "two_choices": "#c08030", "least_in_flight": "#3070b0",
           "owner": "#b02030", "oracle": "#208040"}
LOADS = (0.3, 0.5, 0.7, 0.85)
WIDTH, HEIGHT, LEFT, TOP, BOTTOM = 560, 320, 60, 20, 40
LARGEST_MS = 200.0


def read(path, service):
    """p99 in milliseconds by policy and load."""
    found = {}
    for line in Path(path).read_text(encoding="ascii").splitlines():
        words = line.split()
        if len(words) > 5 and words[0] == service and words[2] in COLOURS:
            found.setdefault(words[2], {})[float(words[1])] = float(words[4])
    return found


def main():
    path, service = sys.argv[1], sys.argv[2]
    right = WIDTH - 130
    x_of = {load: LEFT + (right - LEFT) * (load - 0.3) / 0.55 for load in LOADS}

    def y_of(value):
        share = min(value, LARGEST_MS) / LARGEST_MS
        return HEIGHT - BOTTOM - share * (HEIGHT - BOTTOM - TOP)

    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
             'font-family="sans-serif" font-size="12">',
             f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>']
    for value in (0, 50, 100, 150, 200):
        parts.append(f'<line x1="{LEFT}" x2="{right}" y1="{y_of(value):.0f}" '
                     f'y2="{y_of(value):.0f}" stroke="#dddddd"/>')
        parts.append(f'<text x="{LEFT - 8}" y="{y_of(value) + 4:.0f}" '
                     f'text-anchor="end">{value}</text>')
    for load in LOADS:
        parts.append(f'<text x="{x_of[load]:.0f}" y="{HEIGHT - 20}" '
                     f'text-anchor="middle">{load}</text>')
    parts.append(f'<text x="{LEFT}" y="{HEIGHT - 4}">load; p99 of added latency in ms, cut at '
                 f'{LARGEST_MS:.0f} ({service})</text>')
    for row, (policy, values) in enumerate(read(path, service).items()):
        points = " ".join(f"{x_of[load]:.0f},{y_of(values[load]):.0f}" for load in LOADS)
        parts.append(f'<polyline points="{points}" fill="none" stroke="{COLOURS[policy]}" '
                     'stroke-width="2"/>')
        parts.append(f'<text x="{right + 12}" y="{TOP + 16 + 18 * row}" '
                     f'fill="{COLOURS[policy]}">{policy}</text>')
    parts.append("</svg>")
    (Path(__file__).resolve().parent.parent / "docs" / "latency.svg").write_text(
        "\n".join(parts) + "\n", encoding="ascii")


if __name__ == "__main__":
    main()
