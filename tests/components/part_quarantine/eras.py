"""Era that a test sets."""


class FixedEra:
    """Implements ``StoreEra``."""

    number = 1

    def era(self) -> int:
        return self.number
