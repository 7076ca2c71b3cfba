"""Reads the published set from the platform at a fixed interval."""

from __future__ import annotations

import logging
import threading
import time
import typing

import urllib3
from result import Err

from snipelink import model
from snipelink.objects import documents

logger = logging.getLogger(__name__)
POLL_INTERVAL_S = 1.0


class PollingReader:
    """Keeps the newest valid set that the platform serves."""

    def __init__(self, urls: list[str], timeout_s: float) -> None:
        self._urls = urls
        self._pool = urllib3.PoolManager(
            timeout=timeout_s, retries=False, maxsize=1, headers={"accept": "*/*"}
        )
        self._current: model.ObjectSet | None = None
        self._manifest = b""

    def in_force(self) -> model.ObjectSet | None:
        """Return the set in force."""
        return self._current

    def start(self) -> None:
        """Poll in a thread of its own."""
        threading.Thread(target=self._run, name="config", daemon=True).start()

    def _run(self) -> None:
        while True:
            for url in self._urls:
                try:
                    self.poll(url)
                except (urllib3.exceptions.HTTPError, OSError) as error:
                    logger.warning("configuration service %s: %s", url, error)
            time.sleep(POLL_INTERVAL_S)

    def poll(self, url: str) -> None:
        """Read the manifest and, if it changed, its documents."""
        manifest = self._read(url, "manifest")
        if manifest is None or manifest == self._manifest:
            return
        decoded_manifest = documents.decode_manifest(manifest)
        if isinstance(decoded_manifest, Err):
            logger.error("published set refused: %s", decoded_manifest.err_value)
            return
        found = {}
        for key in documents.keys(decoded_manifest.ok_value):
            value = self._read(url, key)
            if value is None:
                return
            found[key] = value
        decoded = documents.decode(manifest, found)
        if isinstance(decoded, Err):
            logger.error("published set refused: %s", decoded.err_value)
            return
        objects = decoded.ok_value
        if self._current is None or objects.revision > self._current.revision:
            self._current, self._manifest = objects, manifest
            logger.info("revision %d is in force", objects.revision)

    def _read(self, url: str, key: str) -> bytes | None:
        response: typing.Any = self._pool.request("GET", f"{url}/v1/keys/{key}")
        return response.data if response.status == 200 else None
