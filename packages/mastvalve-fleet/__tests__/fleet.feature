Feature: The state of a fleet

  Scenario: A configuration replaces only one with a lower version
    Given a fleet with a configuration of version 5
    When a configuration of version 4 and another one of version 5 are applied
    Then the first one of version 5 is held

  Scenario: An endpoint that leaves is not brought back by a late heartbeat
    Given a fleet with a ready endpoint
    When it says that it leaves and an older heartbeat arrives after that
    Then it is leaving, and a newer heartbeat does not change that

  Scenario: An endpoint that has ended is not brought back at all
    Given a fleet with a ready endpoint
    When it ends and a newer heartbeat arrives after that
    Then it is gone

  Scenario: A new identity at an address ends the former one
    Given a fleet with a ready endpoint
    When another endpoint reports from the same address
    Then the former one is gone and the new one is ready

  Scenario: A heartbeat of an earlier identity that arrives after the next one has registered changes nothing
    Given a fleet with a ready endpoint
    When another endpoint reports from the same address
    And a newer heartbeat of the former one arrives after that
    Then the former one is gone and the new one is ready

  Scenario: Heartbeats don't undo what orders changed
    Given a fleet with a ready endpoint
    When an adapter is recorded and a heartbeat without adapters arrives
    Then the adapter is still known

  Scenario: Followers that get changes have the same state as those that get everything
    Then 200 random series of commands give followers that ask at any time the state itself

  Scenario: Snapshots hold the whole state
    Then 100 random series of commands give the same state through a snapshot

  Scenario: Readers of a feed of changes get them in parts and end with the newest ones
    Then 300 random series of changes give readers that read at any time exactly what is there, in parts of bounded size

  Scenario: A reader that is in the middle of a feed is sent back to the start only by what it may hold of the forgotten
    Given a feed of 10 changes in parts of 2
    When a reader has read 2 parts and a key that it has not read is forgotten
    Then it goes on with the third part
    When a key that it has read is changed and forgotten
    Then it begins anew

  Scenario: A request takes the route with the longest prefix, whatever the number of routes
    Then 300 random sets of routes are matched as by a pass over all of them
