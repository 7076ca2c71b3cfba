"""Runs the node beside one endpoint.

Usage:
  snipelink-node SETTINGS [--check-settings]
  snipelink-node (-h | --help)
  snipelink-node --version

Options:
  --check-settings  Validate the settings and exit.
  -h --help         Show this text.
  --version         Show the version.
"""

from __future__ import annotations

import gc
import pathlib
import signal
import sys
import threading

import docopt
from result import Err

import snipelink
from snipelink import settings
from snipelink.execute import node
from snipelink.observe import logs

# With the interpreter's default of 5 ms, a busy thread can delay a call for longer than
# the whole latency that is allowed for it.
THREAD_SWITCH_INTERVAL_S = 0.0005
STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})


def main(arguments: list[str] | None = None) -> int:
    """Run the program with the given arguments and return its exit code."""
    options = docopt.docopt(__doc__, arguments, version=snipelink.__version__)
    loaded = settings.load(pathlib.Path(options["SETTINGS"]))
    if isinstance(loaded, Err):
        for problem in loaded.err_value:
            print(problem, file=sys.stderr)
        return 1
    if options["--check-settings"]:
        print("settings are valid")
        return 0
    logs.configure(loaded.ok_value.log_level)
    return _serve(loaded.ok_value)


def _serve(values: settings.Settings) -> int:
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    # A signal handler that sets an event can deadlock with the wait on that event which
    # it interrupts. The signals are therefore blocked before any thread starts, as
    # threads inherit the mask, and only `sigwait` receives them.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    try:
        running = node.Node(values)
    except OSError as error:
        # Such as a port in use or an unreadable TLS file.
        print(f"cannot start: {error}", file=sys.stderr)
        return 1
    running.start()
    # Objects created at startup live as long as the process. Freezing them keeps the
    # garbage collector from scanning them in each collection.
    gc.collect()
    gc.freeze()
    signal.sigwait(STOP_SIGNALS)
    abort = threading.Event()
    threading.Thread(target=_abort_on_signal, args=(abort,), daemon=True).start()
    return running.stop(abort)


def _abort_on_signal(abort: threading.Event) -> None:
    """Set `abort` when a second stop signal arrives, which ends the grace time."""
    signal.sigwait(STOP_SIGNALS)
    abort.set()


def run() -> None:
    """Run the program with the arguments of the process."""
    sys.exit(main())


if __name__ == "__main__":
    run()
