from __future__ import annotations

import pathlib
import subprocess
import sys

SIDECAR = pathlib.Path(__file__).resolve().parents[2] / "platform" / "sidecar.py"
# Sends a SIGHUP to its own process while the program imports its modules.
PROGRAM = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "platform_names":
            os.kill(os.getpid(), signal.SIGHUP)
        return None

sys.meta_path.insert(0, Finder())
sys.path.insert(0, sys.argv[1])
runpy.run_path(sys.argv[2], run_name="sidecar")
"""


def test_reload_requested_during_the_start_does_not_end_the_process() -> None:
    """Guards against the default action of SIGHUP before the handler is installed."""
    arguments = [sys.executable, "-c", PROGRAM, str(SIDECAR.parent), str(SIDECAR)]
    finished = subprocess.run(arguments, check=False, capture_output=True, timeout=60)
    assert finished.returncode == 0, finished.stderr.decode()
