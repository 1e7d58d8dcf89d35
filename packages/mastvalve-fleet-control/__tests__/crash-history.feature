Feature: Requests that were running when endpoints crashed

  Scenario: Crashes are counted by the lives of endpoints, whoever reports them and however often
    Given a request that was reported 4 times with the crash of one endpoint and once with that of another
    Then it is not quarantined
    When it is reported with the crash of a third endpoint
    Then it is quarantined

  Scenario: What is remembered is bounded, and a request that ends whatever runs it is found all the same
    Given 20 crashes with 300 other requests each, and in each of the last three the same one
    Then only that one is quarantined
    And the snapshot of it has at most 200 KB

  Scenario: A quarantine ends after its time, and the crashes before don't count any more
    Given a request that is quarantined
    When its time is over by the leader's clock
    Then it is released, and 2 more crashes don't quarantine it again
    But the third does

  Scenario: Old quarantines give way when there are too many, and followers know of it
    Given 1200 requests that are quarantined one after the other
    Then a follower that reads all of it holds the last 1000

  Scenario: What many requests share is spared while something narrower accounts for the crashes
    Given 3 crashes with one request each that has a shared and a crashing part, and 5 others with the shared one
    Then only the crashing part is quarantined

  Scenario Outline: A crash at which answers were just beginning counts only against their parts
    Given 3 crashes, each reported with a part of a queued request and with a part of an answer that was just beginning, the <first> first
    Then only the part of the beginning answers is quarantined

    Examples:
      | first     |
      | queued    |
      | beginning |

  Scenario: A part that was answered after the crashes is cleared of them, and one that was answered before is not
    Given a part that is quarantined after 3 crashes
    When an entry reports an answer to a request that it sent after crash 0
    Then the part is quarantined by 5 crashes from now on
    When an entry reports an answer to a request that it sent after crash 4
    Then only the crashes after that one count

  Scenario: A part that was answered before is due after five crashes, and lifted on probation
    Given a part that was answered and is in flight at 5 crashes
    Then it is due, but not quarantined
    When nothing has cleared it in time
    Then it is quarantined, and a probation is allowed
    When it is on probation
    Then it is neither quarantined nor due
    And one more crash quarantines it again

  Scenario: A history is the same after it is restored from its snapshot
    Then for 200 drawn histories, a restored one quarantines what the original does

  Scenario: The snapshot of an earlier version, which knew whole requests only, is restored
    Given the snapshot of an earlier version with a request that was in flight at 2 crashes
    Then a third crash quarantines it
