"""Cost of calls to other failure domains: longer paths, and bytes that are billed."""

from __future__ import annotations

import dataclasses

from snipelink.decide import work_estimation

# Cost of another failure domain as a fraction of the call's duration: the traffic is
# billed and the path is longer.
FAR_COST_RATIO = 0.15
BYTES_PER_MB = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class FarCost:
    """Cost of running one call in another failure domain, in seconds.

    Attributes
    ----------
    ratio : float
        Share of the call's duration.
    price_s : float
        Price of the bytes that the call carries.
    """

    ratio: float = FAR_COST_RATIO
    price_s: float = 0.0

    def total_s(self, duration_s: float) -> float:
        """Return the cost of a call of some duration, including the duration."""
        return duration_s * (1.0 + self.ratio) + self.price_s


DEFAULT_FAR_COST = FarCost()


def far_cost(ratio: float, carried_bytes: float, s_per_mb: float) -> FarCost:
    """Return the cost of a call that carries some bytes.

    Parameters
    ----------
    s_per_mb : float
        Seconds that a megabyte between failure domains counts as.
    """
    return FarCost(ratio, carried_bytes / BYTES_PER_MB * s_per_mb)


class AnswerSizes:
    """Expected bytes of answers by service and operation."""

    def __init__(self) -> None:
        self._mean_by_operation: dict[tuple[str, str], work_estimation.RunningMean] = {}

    def record(self, service: str, operation: str, byte_count: int) -> None:
        """Record the bytes of one answer."""
        key = (service, operation)
        mean = self._mean_by_operation.setdefault(key, work_estimation.RunningMean())
        mean.add(byte_count)

    def mean_bytes(self, service: str, operation: str) -> float:
        """Return the expected bytes of an answer; 0 if none is known."""
        mean = self._mean_by_operation.get((service, operation))
        return 0.0 if mean is None else mean.value

    def retain(self, operations: set[tuple[str, str]]) -> None:
        """Discard the operations that are not among the given ones."""
        for key in [k for k in self._mean_by_operation if k not in operations]:
            del self._mean_by_operation[key]
