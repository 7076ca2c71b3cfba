"""Serves calls beside one endpoint.

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

# The interpreter's default of 5 ms lets one thread hold up a call for longer
# than a call may take in all.
THREAD_SWITCH_INTERVAL_S = 0.0005
STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})


def main(arguments: list[str] | None = None) -> int:
    """Run the program; return its exit status."""
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
    # A handler that sets an event can deadlock with the wait it interrupts. The
    # threads inherit the mask, so only `sigwait` receives these signals.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    try:
        running = node.Node(values)
    except OSError as error:
        # A port in use, or a TLS file that cannot be read.
        print(f"cannot start: {error}", file=sys.stderr)
        return 1
    running.start()
    # Start-up objects live as long as the process; collections need not scan them.
    gc.collect()
    gc.freeze()
    signal.sigwait(STOP_SIGNALS)
    grace_ended = threading.Event()
    threading.Thread(
        target=_end_grace_on_signal, args=(grace_ended,), daemon=True
    ).start()
    return running.stop(grace_ended)


def _end_grace_on_signal(grace_ended: threading.Event) -> None:
    signal.sigwait(STOP_SIGNALS)
    grace_ended.set()


def run() -> None:
    """Entry point of the program."""
    sys.exit(main())


if __name__ == "__main__":
    run()
