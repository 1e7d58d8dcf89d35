Feature: The management side of an engine

  # Guards against a former state of the engine that is taken for its present one: the engine had answered twice on a kept connection.
  Scenario: The surplus answer of an engine is not taken for its next status
    Given an engine that sends each status once more in the place of the next one on its connection
    When its status is read 3 times
    Then the statuses say that it holds "m1", "m1 m2" and "m1 m2 m3"

  # Guards against a status that is kept in memory until the time of its call is over.
  Scenario: A status without end is given up at its bound
    Given an engine that sends a status without end
    When its status is read
    Then reading it fails with "is larger than 1048576 bytes"
    And the engine has sent fewer than 10000000 bytes

  Scenario: A whole status is read although bytes without end follow it
    Given an engine that sends bytes without end behind its status
    When its status is read 3 times
    Then the statuses say that it holds "m1", "m1" and "m1"
