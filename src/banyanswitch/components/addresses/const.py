"""Constants of the entry addresses."""

from typing import Final

DOMAIN: Final = "addresses"

ENTRIES_PER_WORKSPACE: Final = 3
"""Entries that serve one workspace."""

MAX_CACHED_CHOICES: Final = 2048
"""Workspaces whose entries are cached until the instances change.

The cache is cleared when it is full.
"""
