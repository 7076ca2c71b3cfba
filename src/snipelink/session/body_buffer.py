"""Buffer for the parts of a message body."""

from __future__ import annotations

from snipelink import model
from snipelink.session import memory


class BodyBuffer:
    """Joins the parts of one body as they arrive.

    A list of parts that is joined at the end would need twice the size of the body for
    a moment, and a list of very small parts takes many times their size.

    Attributes
    ----------
    content : Body
        The parts so far.
    """

    def __init__(self) -> None:
        self.content: model.Body = b""

    def append(self, part: bytes) -> None:
        """Append a part."""
        if not self.content:
            self.content = part
            return
        if not isinstance(self.content, bytearray):
            self.content = memory.ChargedBuffer(self.content)
        self.content += part

    def take(self) -> model.Body:
        """Return the body and empty the buffer."""
        body, self.content = self.content, b""
        return body
