Feature: The state of a fleet

  Scenario: A configuration replaces only one with a lower version
    Given a fleet with a configuration of version 5
    When a configuration of version 4 and another one of version 5 are applied
    Then the first one of version 5 is held

  Scenario: A late heartbeat does not revert an endpoint that is leaving
    Given a fleet with a ready endpoint
    When it reports that it is leaving and an older heartbeat arrives later
    Then it is leaving, and a newer heartbeat does not revert that

  Scenario: No heartbeat reverts an endpoint that has ended
    Given a fleet with a ready endpoint
    When it ends and a newer heartbeat arrives later
    Then it is gone

  Scenario: A new identity at an address ends the former one
    Given a fleet with a ready endpoint
    When another endpoint reports from the same address
    Then the former one is gone and the new one is ready

  Scenario: A heartbeat of an earlier identity that arrives after the next one has registered changes nothing
    Given a fleet with a ready endpoint
    When another endpoint reports from the same address
    And a newer heartbeat of the former one arrives later
    Then the former one is gone and the new one is ready

  Scenario: Heartbeats don't revert changes by orders
    Given a fleet with a ready endpoint
    When an adapter is recorded and a heartbeat without adapters arrives
    Then the adapter is still recorded

  Scenario: Followers that read changes have the same state as the machine
    Then 200 random series of commands give followers that poll at any time the state of the machine

  Scenario: Snapshots hold the whole state
    Then 100 random series of commands give the same state through a snapshot

  Scenario: Readers of a change feed get pages and end with the newest changes
    Then 300 random series of changes give readers that read at any time exactly the kept changes, in pages of bounded size

  Scenario: A reader in the middle of a feed starts over only if it may hold forgotten keys
    Given a feed of 10 changes in pages of 2
    When a reader has read 2 pages and a key that it has not read is forgotten
    Then it continues with the third page
    When a key that it has read is changed and forgotten
    Then it starts over

  Scenario: A request matches the route with the longest prefix for any number of routes
    Then 300 random sets of routes give the same matches as a linear search
