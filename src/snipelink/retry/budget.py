"""Retry budget: bounds retries and hedges in proportion to answered calls."""

from __future__ import annotations

import collections
import dataclasses
import math
import threading

WINDOW_S = 10.0
# Deposits within this time are stored as one batch.
DEPOSIT_BATCH_S = 0.5
MAX_RESERVE_ATTEMPTS = 1.0
ROUNDING_TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetState:
    """Snapshot of a budget.

    Attributes
    ----------
    allowance : float
        Attempts that may be spent in any window without deposits.
    earned : float
        Attempts that unspent deposits and the reserve cover now.
    spent_of_allowance : int
        Attempts in the last window that were charged to the allowance.
    granted : int
        All attempts that were granted in the last window.
    """

    allowance: float
    earned: float
    spent_of_allowance: int
    granted: int


class Budget:
    """Allows retries and hedges in proportion to answered calls.

    Each answered call deposits ``ratio`` tokens, and each retry or hedge costs one
    token. Only answered calls deposit: under overload the capacity limits the answers,
    so the budget does not grow with the load that causes the refusals.

    Tokens expire after one window, so they do not accumulate over a pause. Expired
    tokens refill a reserve of up to one token, because a service that is rarely called
    would otherwise never have a whole token. In any window the attempts spent are at
    most ``ratio`` times the deposits made in it and in the window before, plus one,
    plus ``allowance``.

    Parameters
    ----------
    ratio : float
        Tokens added by one deposit.
    allowance : float
        Attempts that may be spent in any window without deposits.
    window_s : float
        Length of a window, seconds.
    reserve : float
        Tokens in the reserve at the start. Further tokens must be earned by deposits or
        granted by `grant_reserve`.
    strict_window : bool
        Whether the attempts in a window are bounded by the deposits of the same window:
        at most ``ratio`` times those deposits, plus the granted reserve, plus
        ``allowance``, in any window that ends with an attempt. Otherwise the tokens of
        a window without failures can double what the next window spends. In strict mode
        expired tokens refill the reserve only up to the current grant, so the reserves
        of many nodes together stay within the grant to all of them. `set_max_earned`
        can lower the tokens that count for a window.
    """

    def __init__(
        self,
        ratio: float,
        allowance: float = 0.0,
        window_s: float = WINDOW_S,
        reserve: float = MAX_RESERVE_ATTEMPTS,
        *,
        strict_window: bool = False,
    ) -> None:
        self._ratio = ratio
        self._strict_window = strict_window
        self._window_s = window_s
        self._allowance = allowance
        self._allowance_spent_at: collections.deque[float] = collections.deque()
        self._attempts_granted_at: collections.deque[float] = collections.deque()
        self._lock = threading.Lock()
        self._granted_reserve = self._reserve = reserve if ratio > 0 else 0.0
        # Current capacity of the reserve.
        self._max_reserve = self._reserve if strict_window else MAX_RESERVE_ATTEMPTS
        self._max_earned = math.inf
        self._unspent_batches: collections.deque[list[float]] = collections.deque()
        self._unspent_sum = 0.0
        # Tokens deposited in the last window, spent or not, by time; strict mode only.
        self._earned_batches: collections.deque[list[float]] = collections.deque()
        self._earned_sum = 0.0

    def deposit(self, now: float) -> None:
        """Add the tokens for one answered call, whichever attempt was answered."""
        with self._lock:
            batches = self._unspent_batches
            if batches and now - batches[-1][0] < DEPOSIT_BATCH_S:
                batches[-1][1] += self._ratio
            else:
                self._expire(now)
                batches.append([now, self._ratio])
            self._unspent_sum += self._ratio
            if self._strict_window:
                self._record_earned(now)

    def try_spend(self, now: float) -> bool:
        """Charge one retry or hedge; return whether the budget allows it."""
        with self._lock:
            self._expire(now)
            if self._can_pay_from_tokens():
                self._remove_tokens(1.0)
            elif (
                len(self._allowance_spent_at) + 1
                <= self._allowance + ROUNDING_TOLERANCE
            ):
                self._allowance_spent_at.append(now)
            else:
                return False
            self._attempts_granted_at.append(now)
            return True

    def set_allowance(self, allowance: float) -> None:
        """Change the attempts that may be spent in any window without deposits."""
        with self._lock:
            self._allowance = allowance

    def set_max_earned(self, max_earned: float) -> None:
        """Limit the attempts that a window's deposits cover; strict mode only."""
        with self._lock:
            self._max_earned = max_earned

    def grant_reserve(self, granted: float) -> None:
        """Change the grant to the reserve.

        Only the part of the grant above all earlier grants is added to the reserve. In
        strict mode a lower grant also lowers the capacity of the reserve.
        """
        with self._lock:
            if self._strict_window:
                self._max_reserve = min(granted, MAX_RESERVE_ATTEMPTS)
                self._reserve = min(self._reserve, self._max_reserve)
            added = min(granted, MAX_RESERVE_ATTEMPTS) - self._granted_reserve
            if self._ratio > 0 and added > 0.0:
                self._granted_reserve += added
                self._reserve = min(self._max_reserve, self._reserve + added)

    def available(self, now: float) -> float:
        """Return the attempts that could be spent now."""
        with self._lock:
            self._expire(now)
            allowed = max(0.0, self._allowance - len(self._allowance_spent_at))
            return self._unspent_sum + self._reserve + allowed

    def state(self, now: float) -> BudgetState:
        """Return a snapshot of the budget and of the attempts in the last window."""
        with self._lock:
            self._expire(now)
            return BudgetState(
                self._allowance,
                self._unspent_sum + self._reserve,
                len(self._allowance_spent_at),
                len(self._attempts_granted_at),
            )

    def _can_pay_from_tokens(self) -> bool:
        """Return whether deposits and the reserve cover one more attempt."""
        if self._unspent_sum + self._reserve < 1.0 - ROUNDING_TOLERANCE:
            return False
        if not self._strict_window:
            return True
        spent_of_tokens = len(self._attempts_granted_at) - len(self._allowance_spent_at)
        earned = min(self._earned_sum, self._max_earned)
        return spent_of_tokens + 1 <= earned + self._max_reserve + ROUNDING_TOLERANCE

    def _record_earned(self, now: float) -> None:
        if self._earned_batches and now - self._earned_batches[-1][0] < DEPOSIT_BATCH_S:
            self._earned_batches[-1][1] += self._ratio
        else:
            self._earned_batches.append([now, self._ratio])
        self._earned_sum += self._ratio

    def _expire(self, now: float) -> None:
        earned = self._earned_batches
        while earned and now - earned[0][0] >= self._window_s:
            self._earned_sum -= earned.popleft()[1]
        if not earned:
            self._earned_sum = 0.0
        for times in (self._allowance_spent_at, self._attempts_granted_at):
            while times and now - times[0] >= self._window_s:
                times.popleft()
        batches = self._unspent_batches
        while batches and now - batches[0][0] >= self._window_s:
            tokens = batches.popleft()[1]
            self._unspent_sum -= tokens
            self._reserve = min(self._max_reserve, self._reserve + tokens)
        if not batches:
            self._unspent_sum = 0.0

    def _remove_tokens(self, amount: float) -> None:
        """Remove tokens, from the oldest deposits first and from the reserve last."""
        batches = self._unspent_batches
        while batches and amount > 0.0:
            removed = min(amount, batches[0][1])
            batches[0][1] -= removed
            self._unspent_sum -= removed
            amount -= removed
            if batches[0][1] <= 0.0:
                batches.popleft()
        self._reserve = max(0.0, self._reserve - amount)
