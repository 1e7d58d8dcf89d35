Feature: A whole session

  Scenario: State, review, confirm, load, call, repeat, drain
    Given the small deployment runs
    When the session is carried out
    Then its transcript matches the snapshot "session.txt"
