"""The program that the deploy file starts."""

import pathlib
import subprocess
import sys
import unittest

PROGRAM = pathlib.Path(__file__).parents[1] / "deploy" / "jackdawd.py"
# Runs the program with a daemon that gets a SIGHUP before it handles signals.
RUN_WITH_SIGNAL = """
import os, runpy, signal, sys, types
from jackdawlanding import mesh
mesh.app = types.SimpleNamespace(main=lambda: os.kill(os.getpid(), signal.SIGHUP))
sys.modules["jackdawlanding.mesh.app"] = mesh.app
runpy.run_path(sys.argv[1])
"""


class ProgramTest(unittest.TestCase):
    def test_a_sighup_before_signals_are_handled_ends_nothing(self):
        result = subprocess.run(
            [sys.executable, "-c", RUN_WITH_SIGNAL, str(PROGRAM)], timeout=20
        )
        self.assertEqual(result.returncode, 0)
