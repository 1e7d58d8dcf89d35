Feature: The management side of an engine

  # Guards against a former state of the engine that is taken for its present one: the engine had answered twice on a kept connection.
  Scenario: The surplus answer of an engine is not taken for its next status
    Given an engine that sends each status once more in the place of the next one on its connection
    When its status is read 3 times
    Then the statuses say that it holds "m1", "m1 m2" and "m1 m2 m3"
