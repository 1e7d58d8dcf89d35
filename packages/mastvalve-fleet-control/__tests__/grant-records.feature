Feature: Grants to workspaces are recorded in the log ahead

  # Guards against a leader that grants what the log doesn't hold: the next leader would grant it again.
  Scenario: Claims beyond the recorded ceiling wait until it is committed, all workspaces in one command
    Given a leader that commits within 10 ms, and 2 workspaces that may use 10000 in a window
    When an entry claims 3000 for each workspace in one call
    Then the call is answered after 10 ms, and all claims are granted
    And one command was committed, which holds at least 3000 for each workspace

  Scenario: A claim within a small share of the tolerance doesn't wait, once what an earlier leader may have granted has expired
    Given a leader that commits within 10 ms, and 2 workspaces that may use 10000 in a window
    And an entry claims 1 for each workspace in one call
    And 14000 ms pass
    When an entry claims 200 for each workspace in one call
    Then the call is answered after 0 ms, and all claims are granted

  Scenario Outline: A leader that can't record grants answers as one that doesn't lead
    Given a leader whose commits "<fate>", and 2 workspaces that may use 10000 in a window
    When an entry claims 3000 for each workspace in one call
    Then the call is not answered, after <ms> ms

    Examples:
      | fate       | ms  |
      | fail       | 10  |
      | never come | 100 |

  Scenario: A lowered ceiling whose commit is uncertain isn't relied on
    Given a leader that commits within 10 ms, and 2 workspaces that may use 10000 in a window
    When an entry claims 9000 for each workspace in one call
    And the window passes, and lowering the ceilings fails with an unknown outcome
    And an entry claims 9000 for each workspace in one call
    Then the call is answered after 10 ms, and all claims are granted
    And one command was committed, which holds at least 9000 for each workspace

  Scenario: Without limited workspaces nothing is recorded
    Given a leader that commits within 10 ms, and 0 workspaces that may use 10000 in a window
    When an entry claims 3000 for each workspace in one call
    Then the call is answered after 0 ms, and all claims are granted
    And no command was proposed
