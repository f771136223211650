"""The layers: which package may import which, and which one may name the platform."""

import ast
import pathlib
import unittest

import jackdawlanding

ROOT = pathlib.Path(jackdawlanding.__file__).parent
ALLOWED = {
    "decisions": {"decisions"},
    "settings": {"settings", "decisions", "exceptions"},
    "wire": {"wire"},
    "daemon": {"daemon", "wire", "settings", "decisions", "latencies"},
    "emulator": {"emulator", "settings"},
    "platform": {"platform", "decisions"},
    "mesh": {"mesh", "platform", "settings", "decisions", "wire", "latencies"},
    "cli": {"cli", "daemon", "mesh", "settings", "exceptions"},
}
# Modules of sockets, clocks and wire formats, which decisions must not import.
IO_MODULES = {"socket", "select", "time", "pycurl", "httptools", "capnp", "msgpack"}
# Names of the users' platform, which only its adapter may contain.
PLATFORM_NAMES = (
    "X-Request-Id",
    "X-Deadline-Ms",
    "X-Caller-Service",
    "X-Expected-Instance",
    "X-Instance-Id",
    "X-Server-Signature",
    "X-Not-Executed",
    "Server-Limit",
    "Server-Leaving",
    "Store-Era",
    "kv-watch",
    "kv-range",
    "kv-key",
    "op/config",
    "servers/",
    "maxConcurrency",
    "healthCheckPath",
    "warmupRemainingMs",
    "trafficSplit",
    "targetLatencyMs",
    "entryKind",
    "routeType",
    "jackdawlanding/readiness",
    "appAddress",
    "nodeName",
)


def list_imports(path):
    """Return the names of modules that a file imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.update(f"{node.module}.{alias.name}" for alias in node.names)
    return names


class LayersTest(unittest.TestCase):
    def test_packages_import_only_allowed_packages(self):
        for package, allowed in ALLOWED.items():
            for path in (ROOT / package).glob("*.py"):
                for name in list_imports(path):
                    parts = name.split(".")
                    if parts[0] == "jackdawlanding" and len(parts) > 1:
                        self.assertIn(parts[1], allowed, f"{path.name}: {name}")

    def test_only_the_adapter_contains_names_of_the_platform(self):
        for path in ROOT.rglob("*.py"):
            if path.parent.name == "platform":
                continue
            text = path.read_text()
            for name in PLATFORM_NAMES:
                self.assertNotIn(name, text, path.name)

    def test_the_adapter_is_under_a_tenth_of_the_code(self):
        lines = {
            path: len(path.read_text().splitlines()) for path in ROOT.rglob("*.py")
        }
        adapter_lines = sum(
            count for path, count in lines.items() if path.parent.name == "platform"
        )
        self.assertLess(adapter_lines, sum(lines.values()) / 10)

    def test_decisions_have_no_sockets_and_no_clock(self):
        for path in (ROOT / "decisions").glob("*.py"):
            self.assertFalse(list_imports(path) & IO_MODULES, path.name)
