Feature: Who may ask, how much, and for how long that is believed

  Scenario Outline: Evidence ends a tenth before the bound
    Given a bound of 5000 ms on keys that were taken away
    When control was sure <before> ms before the question at 1000 ms was answered
    Then keys are believed at <last> ms, and not at <first> ms

    Examples:
      | before | last | first |
      | 0      | 5499 | 5500  |
      | 300    | 5199 | 5200  |

  Scenario: An answer to a question from before a suspension proves nothing
    Given a bound of 5000 ms on keys that were taken away
    When the entry was suspended at 2000 ms
    And control answers the question of 1500 ms
    Then keys are not believed at 2100 ms
    When control answers the question of 2050 ms
    Then keys are believed at 2100 ms

  Scenario: A question at the very moment at which the clock stood still proves nothing
    Given a bound of 5000 ms on keys that were taken away
    When control answers the question of 2000 ms
    And the entry was suspended at 2000 ms
    And control answers the question of 2000 ms
    Then keys are not believed at 2000 ms

  Scenario: Without a bound an entry goes on with what it has
    Given no bound on keys that were taken away
    Then keys are believed at 1000000 ms

  Scenario: The urgency of the workspace goes before that of the route, and no pair is lost
    Then workspaces of priorities 0, 1 and 2 with routes of priorities 0, 1 and 2 are ranked 0 to 8
    And a workspace without a priority comes last
    And without workspaces the route's priority stays
    And more pairs than steps keep their order

  Scenario Outline: What a request counts
    Then a request that declares <declared> counts <cost> by <unit>

    Examples:
      | declared | cost | unit     |
      | 1460,80  | 1540 | tokens   |
      | nothing  | 200  | tokens   |
      | 1460,80  | 1    | requests |

  # The load: a workspace sends six times its usual, through 31 entries at once, while leaders change and claims come in any order.
  Scenario: No window takes more than its limit allows
    Then over 200 runs of bursts and changes of leader no window of 8 s is granted more than the tolerance allows

  Scenario: What is asked within the limit is granted
    Then a workspace that asks at its rate, in any order of requests, is refused nothing

  Scenario: A request larger than all that a window may hold passes when the window is empty
    Then a request of 60000 tokens passes an empty window of 4200 a second, and the next one waits until that has left it

  Scenario: The time that a refused request is told is true
    Then whoever comes back at the time that it was told is served

  Scenario: A lowered limit holds at once
    Then a limit that falls to a tenth grants no more than a window of its own from then on

  # The load: all of control is gone for 3 s, while a workspace sends three times what its limit allows through 31 entries.
  Scenario: Entries that hear no leader go on at their pace, and keep the limit together
    Then over 100 runs 31 entries that are alone for 3 s grant no more than the tolerance allows
    And a workspace that asks as it did before is served at least half of what it asks

  Scenario: What is given back is never granted twice
    Given a window in which 1000 were granted at 0 ms, and 1000 at 4000 ms
    When 1000 are given back at 4100 ms
    Then 1000 count at 7900 ms, and at 8100 ms at least 1000 of those of 4000 ms
