Feature: Authorization by key, limits of workspaces and freshness of keys

  Scenario Outline: Keys become stale a tenth before the bound
    Given a bound of 5000 ms on revoked keys
    When control confirms a time <before> ms before the request of 1000 ms
    Then keys are fresh at <last> ms, and stale at <first> ms

    Examples:
      | before | last | first |
      | 0      | 5499 | 5500  |
      | 300    | 5199 | 5200  |

  Scenario: A response to a request from before a suspension confirms nothing
    Given a bound of 5000 ms on revoked keys
    When the entry is suspended at 2000 ms
    And control responds to the request of 1500 ms
    Then keys are stale at 2100 ms
    When control responds to the request of 2050 ms
    Then keys are fresh at 2100 ms

  Scenario: A response to a request sent exactly when the clock stopped confirms nothing
    Given a bound of 5000 ms on revoked keys
    When control responds to the request of 2000 ms
    And the entry is suspended at 2000 ms
    And control responds to the request of 2000 ms
    Then keys are stale at 2000 ms

  Scenario: Without a bound an entry continues with its known keys
    Given no bound on revoked keys
    Then keys are fresh at 1000000 ms

  Scenario: The priority of the workspace takes precedence over that of the route, and all pairs stay distinct
    Then workspaces of priorities 0, 1 and 2 with routes of priorities 0, 1 and 2 are ranked 0 to 8
    And a workspace without a priority is the least urgent
    And without workspaces the route's priority applies
    And more pairs than priority levels keep their order

  Scenario Outline: Cost of a request
    Then a request that declares <declared> costs <cost> by <unit>

    Examples:
      | declared | cost | unit     |
      | 1460,80  | 1540 | tokens   |
      | nothing  | 200  | tokens   |
      | 1460,80  | 1    | requests |

  # Load: a workspace sends six times its usual through 31 entries at once, while leaders change and claims arrive in any order.
  Scenario: No window grants more than its limit allows
    Then over 200 runs with bursts and changes of leader, no window of 8 s is granted more than the tolerance allows

  Scenario: Requests within the limit are granted
    Then a workspace that sends at its rate, with requests of any size, gets no refusals

  Scenario: A request larger than the capacity of a window passes when the window is empty
    Then a request of 60000 tokens passes an empty window of 4200 per second, and the next one waits until it has left the window

  Scenario: A refused request is granted at its announced retry time
    Then a request that is retried at the announced time is granted

  Scenario: A lowered limit applies immediately
    Then a limit that is lowered to a tenth grants at most one window of the new limit from then on

  # Load: all control instances are unavailable for 3 s, while a workspace sends three times its limit through 31 entries.
  Scenario: Disconnected entries continue at their previous rates and keep the limit together
    Then over 100 runs, 31 entries that are disconnected for 3 s grant no more than the tolerance allows
    And a workspace with unchanged load is granted at least half of its requests

  Scenario: A refund is never granted twice
    Given a window in which 1000 were granted at 0 ms, and 1000 at 4000 ms
    When 1000 are refunded at 4100 ms
    Then 1000 count at 7900 ms, and at least 1000 of those granted at 4000 ms at 8100 ms

  Scenario: Local grants of entries without a leader are bounded
    Then an entry that hears no leader grants nothing itself from 5000 ms after the last answer on
    And an entry that hears no leader grants a request of its share only to workspaces of which it knows that they had used less than half of their window

  # Guards against a limit that is granted twice by two leaders: what silent entries had been granted counted as zero.
  Scenario: What an earlier leader may have granted counts until no entry can use it any more
    Then a new leader counts the recorded ceiling until 5250 ms after the window has passed since its start, less what entries were granted by leaders
    And after a refund the entry reports no more than the leader counts

  Scenario: Recording grants costs few log entries
    Then steady usage changes its recorded ceiling at most 6 times in 60 s

  Scenario: Grants of an entry that doesn't call count until it calls again, or until it can't grant by itself any more
    Then what a silent entry holds counts beyond its window, and that of an entry that calls doesn't
