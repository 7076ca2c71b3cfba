"""Compression of a document against an earlier one that the receiver has."""

from __future__ import annotations

import zlib

# Blocks and their surroundings in the base fit the 32 KiB window of zlib together.
BLOCK_BYTES = 12_288
MARGIN_BYTES = 3_072
_LENGTH_BYTES = 4


def compress(content: bytes, base: bytes) -> bytes:
    """Return ``content`` compressed with the same region of ``base`` at hand."""
    parts = [len(content).to_bytes(_LENGTH_BYTES)]
    for start in range(0, len(content), BLOCK_BYTES):
        block = content[start : start + BLOCK_BYTES]
        dictionary = _region(base, start)
        deflate = (
            zlib.compressobj(9, zdict=dictionary) if dictionary else zlib.compressobj(9)
        )
        part = deflate.compress(block) + deflate.flush()
        parts += [len(part).to_bytes(_LENGTH_BYTES), part]
    return b"".join(parts)


def decompress(data: bytes, base: bytes, max_bytes: int) -> bytes | None:
    """Return the content, or None when the data is damaged or too large."""
    expected = int.from_bytes(data[:_LENGTH_BYTES])
    if len(data) < _LENGTH_BYTES or expected > max_bytes:
        return None
    content = bytearray()
    at = _LENGTH_BYTES
    while at < len(data):
        size = int.from_bytes(data[at : at + _LENGTH_BYTES])
        part = data[at + _LENGTH_BYTES : at + _LENGTH_BYTES + size]
        dictionary = _region(base, len(content))
        inflate = (
            zlib.decompressobj(zdict=dictionary) if dictionary else zlib.decompressobj()
        )
        try:
            block = inflate.decompress(part, BLOCK_BYTES)
        except zlib.error:
            return None
        if not block or len(content) + len(block) > expected:
            return None
        content += block
        at += _LENGTH_BYTES + size
    return bytes(content) if len(content) == expected else None


def _region(base: bytes, start: int) -> bytes:
    first = max(0, start - MARGIN_BYTES)
    return base[first : start + BLOCK_BYTES + MARGIN_BYTES]
