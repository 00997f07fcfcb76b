"""Periodic reads of the platform's list of instances."""

import asyncio
import random

import structlog

from banyanswitch.components.membership.const import (
    LIST_INTERVAL_MIN_S,
    LIST_READS_PER_S,
)
from banyanswitch.components.membership.coordinator import MembershipCoordinator
from banyanswitch.components.membership.platform_list import InstanceList
from banyanswitch.exceptions import PlatformUnavailableError

LOGGER = structlog.get_logger(__name__)


class ListWatcher:
    """Read the list at an interval that grows with the number of instances.

    This limits the total rate of all instances.

    Parameters
    ----------
    coordinator : MembershipCoordinator
        Receives the list.
    instance_list : InstanceList
        The platform's list.
    generator : random.Random
        Varies the interval, so that the instances do not read at the same time.
    """

    def __init__(
        self,
        coordinator: MembershipCoordinator,
        instance_list: InstanceList,
        generator: random.Random,
    ) -> None:
        self._coordinator = coordinator
        self._instance_list = instance_list
        self._random = generator

    async def async_run(self) -> None:
        """Read the list until cancelled."""
        while True:
            await self._async_read()
            await asyncio.sleep(self._interval_s() * self._random.uniform(0.5, 1.5))

    def _interval_s(self) -> float:
        # The list may show that this instance is not leaving, which clears its flag.
        if self._coordinator.is_leaving_but_not_stopping():
            return LIST_INTERVAL_MIN_S
        shared_s = len(self._coordinator.peers()) / LIST_READS_PER_S
        return max(LIST_INTERVAL_MIN_S, shared_s)

    async def _async_read(self) -> None:
        try:
            entries = await self._instance_list.async_read()
        except PlatformUnavailableError as error:
            LOGGER.warning("instance_list_unavailable", reason=str(error))
            return
        self._coordinator.note_list(entries)
