Feature: snipelink-check checks a directory of objects as one set

  Background:
    Given a valid directory of objects at revision 7

  Scenario: A valid set is written as documents
    When it is checked with --out
    Then the exit code is 0
    And the documents decode to revision 7

  Scenario: The same set with the same publication time gives the same bytes
    When it is checked with --out at 1700000000000
    And it is checked with --out to another directory at 1700000000000
    Then both directories hold the same files

  Scenario: Every error is reported in one run, and nothing is written
    Given the weight of operation "claim" is 0
    And rule "archive" names service "archiv"
    When it is checked with --out
    Then the exit code is 1
    And line 1 of the report contains "rules.json:18:4: "
    And line 1 of the report contains "error: rule archive: service: expected the name of a service; found 'archiv'"
    And line 2 of the report contains "service rota: operations[1].weight: expected an integer from 1 to 100; found 0"
    And nothing is written

  Scenario: Removing an endpoint without marking it leaving is refused
    Given the previous directory
    And revision 8 without endpoint "rota-2"
    When it is checked against the previous directory
    Then the exit code is 1
    And line 1 of the report contains "endpoint rota-2: state: removed; expected"

  Scenario: Removing an endpoint that was leaving is accepted
    Given the previous directory
    And revision 8 without endpoint "rota-3"
    When it is checked against the previous directory
    Then the exit code is 0

  Scenario: A changed idempotency is only a warning
    Given the previous directory
    And revision 8 in which operation "find" is not idempotent
    When it is checked against the previous directory
    Then the exit code is 0
    And line 1 of the report contains "warning: service rota: operations[0].idempotent"

  Scenario Outline: Invalid usage has another exit code than errors in the objects
    When it is checked with the arguments "<arguments>"
    Then the exit code is 2

    Examples:
      | arguments                  |
      |                            |
      | nosuch                     |
      | . --against nosuch         |
      | . --published-at yesterday |
      | . --unknown                |
