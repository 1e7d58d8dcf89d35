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
