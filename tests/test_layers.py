"""Each package imports only those below it."""

import ast
import pathlib
import unittest

import jackdawlanding

ROOT = pathlib.Path(jackdawlanding.__file__).parent
ALLOWED = {
    "decisions": {"decisions"},
    "settings": {"settings", "decisions", "exceptions"},
    "wire": {"wire"},
    "daemon": {"daemon", "wire", "settings", "decisions"},
    "emulator": {"emulator", "settings"},
    "cli": {"cli", "daemon", "settings", "exceptions"},
}
OUTSIDE = {"socket", "select", "time", "pycurl", "httptools", "capnp"}


def list_imports(path):
    """Return the names of modules that a file imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(one.name for one in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.update(f"{node.module}.{one.name}" for one in node.names)
    return names


class LayersTest(unittest.TestCase):
    def test_packages_import_only_what_lies_below(self):
        for package, allowed in ALLOWED.items():
            for path in (ROOT / package).glob("*.py"):
                for name in list_imports(path):
                    parts = name.split(".")
                    if parts[0] == "jackdawlanding" and len(parts) > 1:
                        self.assertIn(parts[1], allowed, f"{path.name}: {name}")

    def test_decisions_have_no_sockets_and_no_clock(self):
        for path in (ROOT / "decisions").glob("*.py"):
            self.assertFalse(list_imports(path) & OUTSIDE, path.name)
