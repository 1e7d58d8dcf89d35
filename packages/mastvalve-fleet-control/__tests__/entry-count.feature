Feature: The number of entries that share what is allowed to all of them

  # Guards against shares that are too large after an election: a new leader counted the entries that had reported to it so far, so the
  # first one took the slack of all retries, the second one half of it, and so on.
  Scenario Outline: Shares of <entries> entries add up to one at the most when leaders change: <changes>
    Given <entries> entries that report once a second
    When leaders change at "<changes>" s
    Then the shares of all entries add up to one at the most at any time, and to one at the end

    Examples:
      | entries | changes   |
      | 1       | 6         |
      | 5       | 6         |
      | 31      | 6         |
      | 31      | 6, 7.1, 8 |
      | 300     | 6, 7.1, 8 |
