"""Bounded index of the prompts of one service, with one record per prompt."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from banyanswitch.decisions.cache_view import StoredPrefix
from banyanswitch.decisions.prefix import prefix_keys
from banyanswitch.decisions.return_model import ReturnModel
from banyanswitch.identifiers import (
    PrefixHash,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)

MIN_HORIZON_S: Final = 60.0


@dataclass(slots=True)
class PromptRecord:
    """Tracked state of one prompt.

    Parameters
    ----------
    key : int
        Compact key of the last piece.
    returns : int
        How often the prompt has returned.
    stored : StoredPrefix, optional
        Longest prefix of the prompt that a store holds.
    is_exporting : bool
        Whether an export of the prompt is in progress.
    """

    key: int
    workspace: WorkspaceId
    weight_version: WeightVersion
    pieces: int
    last_use_s: float
    upstream: UpstreamId
    returns: int = 0
    stored: StoredPrefix | None = None
    is_exporting: bool = False


class PromptIndex:
    """Records of prompts in order of last use.

    A prompt that extends a recorded one continues its record.

    Parameters
    ----------
    max_prompts : int
        Maximum number of records; the least recently used one is evicted.
    horizon_s : float
        Age from which a prompt is not expected to return, in seconds.
    """

    def __init__(self, max_prompts: int, horizon_s: float) -> None:
        self._max_prompts = max_prompts
        self._horizon_s = horizon_s
        self._records: dict[int, PromptRecord] = {}
        self._model = ReturnModel()

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[PromptRecord]:
        return iter(tuple(self._records.values()))

    def get(self, key: int) -> PromptRecord | None:
        """Return the record with this key."""
        return self._records.get(key)

    def pop_longest_prefix(
        self, piece_hashes: Sequence[PrefixHash], now_s: float
    ) -> PromptRecord | None:
        """Remove and return the record of a prompt's longest recorded prefix.

        The use is counted as a return of the recorded prompt.
        """
        for key in reversed(prefix_keys(tuple(piece_hashes))):
            record = self._records.pop(key, None)
            if record is None:
                continue
            self._model.on_returned(now_s - record.last_use_s, record.returns)
            record.returns += 1
            record.last_use_s = now_s
            return record
        return None

    def put(self, record: PromptRecord) -> None:
        """Add a record as the most recently used one."""
        self._records[record.key] = record

    def remove(self, key: int) -> None:
        """Remove a record if it is present."""
        self._records.pop(key, None)

    def pop_excess(self, now_s: float) -> PromptRecord | None:
        """Evict and return the least recently used record if there are too many."""
        if len(self._records) <= self._max_prompts:
            return None
        record = self._records.pop(next(iter(self._records)))
        self._model.on_evicted(now_s - record.last_use_s, record.returns)
        return record

    def return_probability(
        self, record: PromptRecord, now_s: float, within_s: float | None = None
    ) -> float:
        """Return the probability that a prompt returns within a time.

        Parameters
        ----------
        within_s : float, optional
            Time from now, in seconds; by default the rest of the horizon, but at least
            `MIN_HORIZON_S`.
        """
        age_s = now_s - record.last_use_s
        until_s = max(age_s + MIN_HORIZON_S, self._horizon_s)
        if within_s is not None:
            until_s = age_s + within_s
        return self._model.probability(record.returns, age_s, until_s)
