"""Starts a mesh daemon from a checkout, without installing the package."""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "src"))

from jackdawlanding.mesh import app  # noqa: E402

app.main()
