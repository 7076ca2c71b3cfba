"""Writing documents to the directory that they are published from."""

from __future__ import annotations

import os
import pathlib

import result

from snipelink.objects import documents


def write(
    documents_by_key: dict[str, bytes], directory: pathlib.Path
) -> result.Result[None, str]:
    """Write each document under its key; other files stay.

    The manifest is written last, so that a reader that has it finds every document
    it names. A manifest of a later revision or time, or of another set under the same
    revision, is not replaced: nodes would refuse the set, and owners of idempotency
    keys rely on times that do not fall.
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
    directory: pathlib.Path, manifest: documents.documents.Manifest
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
        return f"{path}: holds another set under revision {published.revision}"
    if published.published_at_ms > manifest.published_at_ms:
        return f"{path}: published at {published.published_at_ms}, a later time"
    return ""


def _write_file(path: pathlib.Path, content: bytes) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_name(f".{path.name}.new")
    temporary.write_bytes(content)
    os.replace(temporary, path)
