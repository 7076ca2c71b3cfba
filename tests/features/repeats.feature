Feature: A caller that repeats a request with its key does not run it twice
  Callers repeat a part of their keyed calls through another node, at the same time or
  a little later, while a fault comes and goes.

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
