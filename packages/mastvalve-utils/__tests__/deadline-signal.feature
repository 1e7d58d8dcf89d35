Feature: Deadlines

  # Guards against deadlines that never pass: their timers were lost at garbage collection, and programs that waited for them didn't end.
  Scenario: Deadlines pass after garbage collection
    Given 100 deadlines of 200 ms that also follow another signal, each with a listener
    When garbage is collected before they pass
    Then all of them have passed after 1000 ms

  Scenario: A deadline ends with the signal that it follows
    Given 100 deadlines of 60000 ms that also follow another signal, each with a listener
    When garbage is collected before they pass
    And the other signal aborts
    Then all of them have passed after 0 ms
