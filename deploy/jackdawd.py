"""Starts a mesh daemon from a checkout, without installing the package."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from jackdawlanding.mesh import app  # noqa: E402

app.main()
