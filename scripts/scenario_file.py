"""Reads scenario files for runs over real processes (docs/scenarios.md)."""

import dataclasses
import re

SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0}
RELATIONS = {"==", "<=", ">="}


def parse_time_s(text):
    """Parses '2s' or '2s~1s' into a time and its maximum random addition, in s."""
    values_s = []
    for part in text.split("~"):
        value, unit = re.fullmatch(r"([\d.]+)(ms|s|m)", part).groups()
        values_s.append(float(value) * SECONDS_PER_UNIT[unit])
    return values_s[0], (values_s[1] if len(values_s) > 1 else 0.0)


@dataclasses.dataclass(frozen=True)
class Line:
    words: tuple
    options: dict

    def option(self, name, default=""):
        return self.options.get(name, default)

    def time_s(self, name, default):
        return parse_time_s(self.option(name, default))[0]


def parse_line(text):
    words, options = [], {}
    for part in text.split("#")[0].split():
        if "=" in part and part not in RELATIONS:
            key, value = part.split("=", 1)
            options[key] = value
        else:
            words.append(part)
    return Line(tuple(words), options)


class Scenario:
    """Lines of one file, grouped by their first word."""

    def __init__(self, path):
        lines = [parse_line(text) for text in path.read_text().splitlines()]
        lines = [line for line in lines if line.words]
        self.nodes = self._lines_with(lines, "node")
        self.routes = self._lines_with(lines, "route")
        self.loads = self._lines_with(lines, "load")
        self.faults = self._lines_with(lines, "at")
        self.expectations = self._lines_with(lines, "expect")
        self.name = self._last_value(lines, "scenario", path.stem)
        self.mode = self._last_value(lines, "mode", "virtual")
        self.run_count = int(self._last_value(lines, "runs", "20"))
        self.duration_s = parse_time_s(self._last_value(lines, "duration", "20s"))[0]

    @staticmethod
    def _lines_with(lines, keyword):
        return [line for line in lines if line.words[0] == keyword]

    @classmethod
    def _last_value(cls, lines, keyword, default):
        matches = cls._lines_with(lines, keyword)
        return matches[-1].words[1] if matches else default

    def fault_list(self):
        return ",".join(sorted({line.words[2] for line in self.faults})) or "none"

    def policy(self, revision, leaving=()):
        """Returns a policy document with the routes of the scenario."""
        services = {}
        for line in self.routes:
            service, route = line.words[1].split("/", 1)
            services.setdefault(service, []).append(
                {
                    "route": route,
                    "importance": line.option("importance", "normal"),
                    "unrepeatable": line.option("unrepeatable", "yes") == "yes",
                    "work": "long" if line.option("long") == "yes" else "short",
                    "timeout_ms": int(1000 * line.time_s("timeout", "10s")),
                }
            )
        return {
            "format": 1,
            "revision": revision,
            "services": [
                {"service": service, "routes": routes}
                for service, routes in sorted(services.items())
            ],
            "leaving": list(leaving),
        }

    def is_unrepeatable(self, service, route):
        for line in self.routes:
            if line.words[1] == f"{service}/{route}":
                return line.option("unrepeatable", "yes") == "yes"
        return True
