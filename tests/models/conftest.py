"""Limits logs to critical events, since the models inject thousands of faults."""

import logging
from collections.abc import Iterator

import pytest
import structlog


@pytest.fixture(autouse=True)
def quiet_logs() -> Iterator[None]:
    wrapper = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=wrapper)
    yield
    structlog.reset_defaults()
