"""The memory that answers of backend servers take up while they come in.

Load pattern: a server sends bodies without end to all requests that it has. Each is ended at the
largest answer, but together they would take more memory than a host has.
"""

from __future__ import annotations

# Bytes of unfinished answers that a host holds before it ends large ones: a third of the memory
# of the smallest host, 200 MB.
HELD_BYTES_MAX = 64 * 1_048_576
# Answers up to this many bytes always come in: twice the largest usual ones of some hundred KB.
USUAL_BYTES = 1_048_576


class ResponseMemory:
    """Counts the bytes of unfinished answers over all connections.

    :param held: bytes held now.
    :param most: bytes from which large answers are ended.
    """

    __slots__ = ("held", "most")

    def __init__(self, most: int = HELD_BYTES_MAX) -> None:
        self.held = 0
        self.most = most

    def take(self, size: int) -> None:
        """Count bytes that came in."""
        self.held += size

    def give_back(self, size: int) -> None:
        """Count bytes of an answer that is finished or was ended."""
        self.held -= size

    def has_room(self, size: int) -> bool:
        """Whether an answer of this many bytes so far may go on."""
        return self.held <= self.most or size <= USUAL_BYTES
