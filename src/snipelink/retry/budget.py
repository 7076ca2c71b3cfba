"""Budget for further attempts, relative to answered calls."""

from __future__ import annotations

import collections
import dataclasses
import math
import threading

WINDOW_S = 10.0
BATCH_S = 0.5
RESERVE = 1.0
ROUNDING = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetState:
    """Figures of a budget at one time.

    Attributes
    ----------
    allowance : float
        Attempts that may be spent in any window without deposits.
    earned : float
        Attempts that deposits and the reserve would pay now.
    spent_of_allowance, granted : int
        Attempts of the last window that the allowance paid, and all of them.
    """

    allowance: float
    earned: float
    spent_of_allowance: int
    granted: int


class Budget:
    """Allows further attempts in proportion to answered calls.

    A deposit can be spent for one window, so nothing accumulates over a pause. One
    attempt is kept beyond that, because a service that is rarely called would otherwise
    never earn one. In any window the attempts spent are at most ``ratio`` times the
    deposits made in it and in the window before, plus one, plus ``allowance``.

    Only answered calls deposit: under overload the answers are limited by capacity,
    so the budget does not grow with the load that causes the refusals.

    Parameters
    ----------
    ratio : float
        Attempts earned by a deposit.
    allowance : float
        Attempts that may be spent in any window without deposits.
    window_s : float
        Length of a window, seconds.
    reserve : float
        Attempts that are kept from the start; further ones must be earned or granted.
    strict_window : bool
        Whether the attempts of any window that ends with one are at most ``ratio``
        times the deposits of that window alone, plus the reserve that was granted, plus
        ``allowance``. Otherwise what was earned in a window without failures doubles
        what the next one spends. Expired deposits then refill the reserve only up to
        what is granted at the time, so that the reserves of many nodes together stay
        within what was granted to all. `set_max_earned` may bound the deposits of a
        window further.
    """

    def __init__(
        self,
        ratio: float,
        allowance: float = 0.0,
        window_s: float = WINDOW_S,
        reserve: float = RESERVE,
        *,
        strict_window: bool = False,
    ) -> None:
        self._ratio = ratio
        self._own_window = strict_window
        self._window_s = window_s
        self._allowance = allowance
        self._allowed_at: collections.deque[float] = collections.deque()
        self._granted_at: collections.deque[float] = collections.deque()
        self._lock = threading.Lock()
        self._granted_reserve = self._reserve = reserve if ratio > 0 else 0.0
        # Most that the reserve may hold now.
        self._reserve_bound = self._reserve if strict_window else RESERVE
        self._earned_bound = math.inf
        self._batches: collections.deque[list[float]] = collections.deque()
        self._sum = 0.0
        # Tokens of the deposits of the last window, spent or not, by time.
        self._earned: collections.deque[list[float]] = collections.deque()
        self._earned_sum = 0.0

    def deposit(self, now: float) -> None:
        """Record a call that was answered, whichever attempt was."""
        with self._lock:
            batches = self._batches
            if batches and now - batches[-1][0] < BATCH_S:
                batches[-1][1] += self._ratio
            else:
                self._expire(now)
                batches.append([now, self._ratio])
            self._sum += self._ratio
            if self._own_window:
                self._note_earned(now)

    def try_spend(self, now: float) -> bool:
        """Take one attempt; return whether the budget allows it."""
        with self._lock:
            self._expire(now)
            if self._is_paid():
                self._take(1.0)
            elif len(self._allowed_at) + 1 <= self._allowance + ROUNDING:
                self._allowed_at.append(now)
            else:
                return False
            self._granted_at.append(now)
            return True

    def set_allowance(self, allowance: float) -> None:
        """Change the attempts that may be spent in any window without deposits."""
        with self._lock:
            self._allowance = allowance

    def set_max_earned(self, bound: float) -> None:
        """Change what the deposits of a window may pay; needs an own window."""
        with self._lock:
            self._earned_bound = bound

    def grant_reserve(self, granted: float) -> None:
        """Change what is granted to the reserve; only a new maximum adds to it.

        With an own window, a lower grant also lowers what the reserve may hold.
        """
        with self._lock:
            if self._own_window:
                self._reserve_bound = min(granted, RESERVE)
                self._reserve = min(self._reserve, self._reserve_bound)
            added = min(granted, RESERVE) - self._granted_reserve
            if self._ratio > 0 and added > 0.0:
                self._granted_reserve += added
                self._reserve = min(self._reserve_bound, self._reserve + added)

    def available(self, now: float) -> float:
        """Return the attempts that could be spent now."""
        with self._lock:
            self._expire(now)
            allowed = max(0.0, self._allowance - len(self._allowed_at))
            return self._sum + self._reserve + allowed

    def state(self, now: float) -> BudgetState:
        """Return what is in force now, and what was granted in the last window."""
        with self._lock:
            self._expire(now)
            return BudgetState(
                self._allowance,
                self._sum + self._reserve,
                len(self._allowed_at),
                len(self._granted_at),
            )

    def _is_paid(self) -> bool:
        """Whether deposits and the reserve pay one more attempt."""
        if self._sum + self._reserve < 1.0 - ROUNDING:
            return False
        if not self._own_window:
            return True
        paid = len(self._granted_at) - len(self._allowed_at)
        earned = min(self._earned_sum, self._earned_bound)
        return paid + 1 <= earned + self._reserve_bound + ROUNDING

    def _note_earned(self, now: float) -> None:
        if self._earned and now - self._earned[-1][0] < BATCH_S:
            self._earned[-1][1] += self._ratio
        else:
            self._earned.append([now, self._ratio])
        self._earned_sum += self._ratio

    def _expire(self, now: float) -> None:
        earned = self._earned
        while earned and now - earned[0][0] >= self._window_s:
            self._earned_sum -= earned.popleft()[1]
        if not earned:
            self._earned_sum = 0.0
        for times in (self._allowed_at, self._granted_at):
            while times and now - times[0] >= self._window_s:
                times.popleft()
        batches = self._batches
        while batches and now - batches[0][0] >= self._window_s:
            tokens = batches.popleft()[1]
            self._sum -= tokens
            self._reserve = min(self._reserve_bound, self._reserve + tokens)
        if not batches:
            self._sum = 0.0

    def _take(self, amount: float) -> None:
        """Take tokens, the oldest deposits first and the reserve last."""
        batches = self._batches
        while batches and amount > 0.0:
            taken = min(amount, batches[0][1])
            batches[0][1] -= taken
            self._sum -= taken
            amount -= taken
            if batches[0][1] <= 0.0:
                batches.popleft()
        self._reserve = max(0.0, self._reserve - amount)
