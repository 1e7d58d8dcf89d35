Feature: The leader's account of runs

  Scenario: Counts return to zero when all requests of five entries have ended
    Given a leader with 3 engines, and 5 entries
    When each entry makes 4 claims, and those that are assigned end
    Then the leader counts no runs and no waiting claims

  # Guards against runs that are counted when nobody calls any more: only calls swept them.
  Scenario: Runs and claims of entries that were lost are dropped, although no entry calls
    Given a leader with 3 engines, and 5 entries
    When each entry makes 40 claims, and 4000 ms pass
    Then the leader counts no runs and no waiting claims

  Scenario: Engines copy what others of their service have read, if the configuration says that they can
    Given a leader with 3 engines that copy, and 1 entries
    When a prompt was read by e0
    Then the same prompt at another engine is copied from e0
    When another term begins
    Then the same prompt at another engine is read

  Scenario: Engines whose configuration doesn't say so copy nothing
    Given a leader with 3 engines, and 1 entries
    When a prompt was read by e0
    Then the same prompt at another engine is read

  # Guards against a leader that went on with an entry whose runs it had dropped: the entry's runs in progress were never counted again.
  Scenario: An entry that was silent is asked for its runs
    Given a leader with 3 engines, and 5 entries
    When each entry makes 1 claims, and 4000 ms pass
    Then the leader asks each entry for its runs at the next call

  # Guards against runs counted until their deadline: the events of their ends were lost with the connection to a leader that stayed.
  Scenario: A whole report replaces what the leader has counted for the entry
    Given a leader with 3 engines, and 5 entries
    When each entry makes 40 claims, and reports that it has no runs
    Then the leader counts no runs and no waiting claims
