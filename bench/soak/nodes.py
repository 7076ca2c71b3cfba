"""Processes of real nodes: started, signalled and killed by process id."""

from __future__ import annotations

import asyncio
import os
import pathlib
import re
import signal
import subprocess
import sys
import time

import platform_names

from bench.soak import history

ROOT = pathlib.Path(__file__).resolve().parents[2]
PEER_PORT, ENDPOINT_PORT, CALLER_PORT, READY_PORT = 21480, 21481, 21482, 21483
STORE_PORT = 21484
# Time between the exit of a process and the next start.
RESTART_DELAY_S = 0.2
EXIT_POLL_INTERVAL_S = 0.02
# Memory of the smallest machines. The platform ends a process that exceeds it.
MEMORY_LIMIT_MB = 200
SETTINGS_TEMPLATE = """
[self]
node_name = "n-{number}"
ip = "{host}"
zone = "{zone}"
app_addr = "{host}:{endpoint_port}"
service = "{service}"
[self.limits]
memory_mb = {memory_mb}
[network]
port_range = [{peer_port}, {peer_port}]
[network.listen]
outbound = "{host}:{caller_port}"
ready = "{host}:{ready_port}"
[platform.platform]
address = "{host}:{store_port}"
[terms.bounds]
drain_s = {drain_s}
grace_s = {grace_s}
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
probes_per_s = 60
"""


class Node:
    """Node on one machine, whose process is restarted whenever it exits.

    Parameters
    ----------
    directory : Path
        Directory for the settings file and the log of the process.
    tree : Path
        Source tree of the program.
    """

    def __init__(
        self,
        number: int,
        host: str,
        zone: str,
        service: str,
        directory: pathlib.Path,
        recorded: history.History,
        tree: pathlib.Path = ROOT,
    ) -> None:
        self._tree = tree
        self._number = number
        self._history = recorded
        self._signal, self._signal_at = "", 0.0
        self._settings_file = directory / f"node-{number}.toml"
        self._log_file = directory / f"node-{number}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self.host = host
        self.zone = zone
        self.service = service
        self._settings_file.write_text(
            SETTINGS_TEMPLATE.format(
                number=number,
                host=host,
                zone=zone,
                service=service,
                peer_port=PEER_PORT,
                endpoint_port=ENDPOINT_PORT,
                caller_port=CALLER_PORT,
                ready_port=READY_PORT,
                store_port=STORE_PORT,
                memory_mb=MEMORY_LIMIT_MB,
                drain_s=recorded.drain_s,
                grace_s=recorded.grace_s,
            )
        )

    @property
    def is_stopping(self) -> bool:
        """Whether the process was sent SIGTERM and has not been restarted since."""
        return self._signal == "TERM"

    async def run(self) -> None:
        """Run the process and restart it whenever it exits, until cancelled."""
        environment = os.environ | {
            platform_names.SETTINGS_VARIABLE: str(self._settings_file),
            "PYTHONPATH": str(self._tree / "src"),
        }
        with self._log_file.open("ab") as log:
            while True:
                self._signal = ""
                self._process = subprocess.Popen(
                    [sys.executable, str(self._tree / "platform" / "sidecar.py")],
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
                try:
                    while self._process.poll() is None:
                        self._enforce_memory_limit()
                        await asyncio.sleep(EXIT_POLL_INTERVAL_S)
                finally:
                    self._kill_process()
                self._record_exit(self._process.returncode)
                await asyncio.sleep(RESTART_DELAY_S)

    def send_signal(self, name: str) -> None:
        """Send a signal to a live process; `name` has no ``SIG`` prefix."""
        if self._process is None or self._process.poll() is not None:
            return
        if name in ("TERM", "KILL"):
            if self._signal != "TERM":
                self._signal_at = time.monotonic()
            self._signal = name
        self._process.send_signal(signal.Signals[f"SIG{name}"])

    def is_alive(self) -> bool:
        """Whether the process has not exited; a process stopped by SIGSTOP is alive."""
        return self._process is not None and self._process.poll() is None

    def rewrite_settings(self) -> None:
        """Append a comment to the settings file, which changes no setting."""
        self._settings_file.write_text(
            self._settings_file.read_text() + "# written again\n"
        )

    def memory_mb(self) -> float:
        """Return the anonymous memory of the process, MB; 0 if it has exited."""
        assert self._process is not None
        try:
            text = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"^RssAnon:\s+(\d+) kB", text, re.MULTILINE)
        return int(found[1]) / 1024.0 if found else 0.0

    def _enforce_memory_limit(self) -> None:
        """Kill the process above its limit; it then counts as ended by itself."""
        used_mb = self.memory_mb()
        peaks = self._history.peak_memory_mb_by_node
        peaks[self._number] = max(peaks.get(self._number, 0.0), used_mb)
        self._history.last_memory_mb_by_node[self._number] = used_mb
        if used_mb > MEMORY_LIMIT_MB:
            self._kill_process()

    def _kill_process(self) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def _record_exit(self, code: int) -> None:
        now = time.monotonic()
        took_s = now - self._signal_at if self._signal else 0.0
        self._history.process_exits.append(
            history.ProcessExit(self._number, now, self._signal, code, took_s)
        )
