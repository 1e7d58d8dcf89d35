Feature: Bodies of calls between programs

  # Guards against bodies without end that are kept in memory, and bodies that never become whole.
  Scenario Outline: A call with <body> gets the status <status>
    Given a program that takes calls of at most 100000 bytes within 300 ms
    When a caller calls it with "<body>" for at most 2000 ms
    Then the caller gets the status <status>, and its connection is closed
    # The server reads and drops for at most 500 ms and 64 MiB more, so that its answer isn't lost by a reset.
    And the program has read fewer than 70000000 bytes

    Examples:
      | body                   | status |
      | chunks without end     | 413    |
      | a length that is above | 413    |
      | one byte each 20 ms    | 408    |

  Scenario: A call in chunks within the bounds is served
    Given a program that takes calls of at most 100000 bytes within 300 ms
    When a caller calls it with "whole chunks" for at most 500 ms
    Then the caller gets the answer to its call

  # Guards against answers of calls that are kept in memory without a bound.
  Scenario: An answer without end is given up at its bound
    Given a program that answers calls without end
    When another program calls it
    Then the call fails with "is larger than 67108864 bytes"
    And the program has sent fewer than 100000000 bytes
