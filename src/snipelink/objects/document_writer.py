"""Writes documents to the directory from which they are published."""

from __future__ import annotations

import os
import pathlib

import result

from snipelink.objects import documents


def write(
    documents_by_key: dict[str, bytes], directory: pathlib.Path
) -> result.Result[None, str]:
    """Write each document to the file that its key names; keep all other files.

    The manifest is written last, so that every document that it names exists when a
    reader finds the manifest. A manifest is not replaced by one with a lower revision
    or with the same revision for a different set, because nodes would refuse the set.
    It is not replaced by one with an earlier time of publication either, because the
    handover of idempotency keys relies on times that never decrease.
    """
    manifest = documents.decode_manifest(documents_by_key[documents.MANIFEST_KEY])
    conflict = _find_conflict(directory, manifest.unwrap())
    if conflict:
        return result.Err(conflict)
    keys = [key for key in documents_by_key if key != documents.MANIFEST_KEY]
    try:
        for key in [*keys, documents.MANIFEST_KEY]:
            _write_file(directory / key, documents_by_key[key])
    except OSError as error:
        return result.Err(f"{error.filename}: {error.strerror}")
    return result.Ok(None)


def _find_conflict(
    directory: pathlib.Path, manifest: documents.generated.Manifest
) -> str:
    path = directory / documents.MANIFEST_KEY
    if not path.exists():
        return ""
    decoded = documents.decode_manifest(path.read_bytes())
    if isinstance(decoded, result.Err):
        return f"{path}: {decoded.err_value}"
    published = decoded.ok_value
    if published.revision > manifest.revision:
        return f"{path}: already at revision {published.revision}"
    same = documents.set_digest(published) == documents.set_digest(manifest)
    if published.revision == manifest.revision and not same:
        return f"{path}: holds a different set under revision {published.revision}"
    if published.published_at_ms > manifest.published_at_ms:
        return f"{path}: published at {published.published_at_ms}, a later time"
    return ""


def _write_file(path: pathlib.Path, content: bytes) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_name(f".{path.name}.new")
    temporary.write_bytes(content)
    os.replace(temporary, path)
