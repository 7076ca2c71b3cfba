Feature: A request that is repeated with its idempotency key runs only once
  Callers repeat a share of the calls with an idempotency key through a randomly chosen
  node, at the same time or up to 300 ms later, while a fault begins and ends.

  Scenario Outline: repeats under <fault>
    When "<fault>" happens under load with repeats
    Then calls were answered
    And no invariant was violated
    And every node answers again

    Examples:
      | fault       |
      | slow        |
      | kill-node   |
      | stop-node   |
