"""Starts a mesh daemon from a checkout, without installing the package."""

import os
import signal
import sys

# A change of the settings file may be announced while the modules are imported; the
# file is read after that.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "src"))

from jackdawlanding.mesh import app  # noqa: E402

app.main()
