Feature: The checks detect a missing mechanism
  Each scenario runs nodes without one mechanism. A check that passes nevertheless
  doesn't test this mechanism.

  Scenario Outline: without <mechanism>
    When "<fault>" happens under load without "<mechanism>"
    Then it is reported that "<rule>"

    Examples:
      | mechanism        | fault        | rule                                        |
      | not-run          | kill-node    | refusal does not match the table of error kinds |
      | complete-answers | cut-answers  | answer is not the complete one to its own call |
      | own-answer       | lie          | answer is not the complete one to its own call |
      | leaving          | retire       | new work on a leaving endpoint              |

  Scenario: without idempotency keys
    When "slow" happens under load with repeats without "idempotency-keys"
    Then it is reported that "idempotency key started twice"
