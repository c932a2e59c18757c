"""Reads scenario files for runs over real processes (docs/scenarios.md)."""

import dataclasses
import re

UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0}
RELATIONS = {"==", "<=", ">="}


def seconds(text):
    """'2s' or '2s~1s': the start and the random part, in seconds."""
    parts = []
    for part in text.split("~"):
        value, unit = re.fullmatch(r"([\d.]+)(ms|s|m)", part).groups()
        parts.append(float(value) * UNITS[unit])
    return parts[0], (parts[1] if len(parts) > 1 else 0.0)


@dataclasses.dataclass(frozen=True)
class Line:
    words: tuple
    options: dict

    def option(self, name, default=""):
        return self.options.get(name, default)

    def time(self, name, default):
        return seconds(self.option(name, default))[0]


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
    """Statements of one file, grouped by their first word."""

    def __init__(self, path):
        lines = [parse_line(text) for text in path.read_text().splitlines()]
        lines = [line for line in lines if line.words]
        self.nodes = self._all(lines, "node")
        self.routes = self._all(lines, "route")
        self.loads = self._all(lines, "load")
        self.faults = self._all(lines, "at")
        self.expectations = self._all(lines, "expect")
        self.name = self._word(lines, "scenario", path.stem)
        self.mode = self._word(lines, "mode", "virtual")
        self.runs = int(self._word(lines, "runs", "20"))
        self.duration = seconds(self._word(lines, "duration", "20s"))[0]

    @staticmethod
    def _all(lines, verb):
        return [line for line in lines if line.words[0] == verb]

    @classmethod
    def _word(cls, lines, verb, default):
        found = cls._all(lines, verb)
        return found[-1].words[1] if found else default

    def fault_list(self):
        return ",".join(sorted({line.words[2] for line in self.faults})) or "none"

    def policy(self, revision, leaving=()):
        """The policy document of the scenario's routes."""
        services = {}
        for line in self.routes:
            service, route = line.words[1].split("/", 1)
            services.setdefault(service, []).append(
                {
                    "route": route,
                    "importance": line.option("importance", "normal"),
                    "unrepeatable": line.option("unrepeatable", "yes") == "yes",
                    "work": "long" if line.option("long") == "yes" else "short",
                    "timeout_ms": int(1000 * line.time("timeout", "10s")),
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
