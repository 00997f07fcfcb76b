"""Constants of event streams."""

from typing import Final

EVENT_END: Final = b"\n\n"
LINE_END: Final = b"\n"
CARRIAGE_RETURN: Final = b"\r"
"""Byte that no event contains, but each head of a response."""

EVENT_ID_FIELD: Final = b"id: "
DATA_DONE: Final = b"data: [DONE]"
MAX_EVENT_BYTES: Final = 262_144
