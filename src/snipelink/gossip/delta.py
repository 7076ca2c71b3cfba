"""Delta compression of a document against a base that the receiver already has."""

from __future__ import annotations

import zlib

# The dictionary of a block is the same range of the base with a margin on both sides.
# Block and dictionary fit together into the 32 KiB window of zlib.
BLOCK_BYTES = 12_288
BASE_MARGIN_BYTES = 3_072
_LENGTH_BYTES = 4


def compress(content: bytes, base: bytes) -> bytes:
    """Compress ``content`` in blocks, each with a range of ``base`` as dictionary."""
    parts = [len(content).to_bytes(_LENGTH_BYTES)]
    for start in range(0, len(content), BLOCK_BYTES):
        block = content[start : start + BLOCK_BYTES]
        dictionary = _base_window(base, start)
        compressor = (
            zlib.compressobj(9, zdict=dictionary) if dictionary else zlib.compressobj(9)
        )
        part = compressor.compress(block) + compressor.flush()
        parts += [len(part).to_bytes(_LENGTH_BYTES), part]
    return b"".join(parts)


def decompress(data: bytes, base: bytes, max_bytes: int) -> bytes | None:
    """Return the content, or None if the data is damaged or exceeds ``max_bytes``."""
    expected = int.from_bytes(data[:_LENGTH_BYTES])
    if len(data) < _LENGTH_BYTES or expected > max_bytes:
        return None
    content = bytearray()
    offset = _LENGTH_BYTES
    while offset < len(data):
        size = int.from_bytes(data[offset : offset + _LENGTH_BYTES])
        part = data[offset + _LENGTH_BYTES : offset + _LENGTH_BYTES + size]
        dictionary = _base_window(base, len(content))
        decompressor = (
            zlib.decompressobj(zdict=dictionary) if dictionary else zlib.decompressobj()
        )
        try:
            block = decompressor.decompress(part, BLOCK_BYTES)
        except zlib.error:
            return None
        if not block or len(content) + len(block) > expected:
            return None
        content += block
        offset += _LENGTH_BYTES + size
    return bytes(content) if len(content) == expected else None


def _base_window(base: bytes, start: int) -> bytes:
    window_start = max(0, start - BASE_MARGIN_BYTES)
    return base[window_start : start + BLOCK_BYTES + BASE_MARGIN_BYTES]
