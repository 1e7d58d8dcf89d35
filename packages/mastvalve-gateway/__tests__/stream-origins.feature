Feature: The release at which a stream began

  # Guards against streams whose events come from two releases, over all that may happen between a stream's first event and its caller's return.
  Scenario: No entry ever takes another release for the one that began a stream
    Then in 400 random histories of releases, restarts, cuts, dead entries and new leaders, no proved release is wrong

  # Guards against a proof from the record of an entry that is cut off: the successor that began the stream had registered meanwhile.
  Scenario: An entry that is cut off doesn't prove by its own record
    Then in the random history with seed 700230, no proved release is wrong

  # A build that takes the release of an endpoint's name instead of its incarnation has to be found.
  Scenario: Histories find a build that takes the release from the name of an endpoint
    Then in 400 random histories, a build that takes the release from the name is wrong at least once

  Scenario: While the leader answers and endpoints of both releases serve, all returning streams are proved but those reported last
    Given 31 entries in touch, and endpoints of two releases
    When each entry begins 20 streams, and after 100 ms other entries get their callers back
    Then all of 620 returning streams are proved

  Scenario: A new leader learns the origins from the entries
    Given 5 entries in touch, and endpoints of two releases
    When each entry begins 20 streams, a new leader is elected, and after 100 ms other entries get their callers back
    Then all of 100 returning streams are proved

  Scenario: The origins of dead entries are known at others
    Given 5 entries in touch, and endpoints of two releases
    When each entry begins 20 streams, 4 entries die after 100 ms, and the last one gets all callers back
    Then all of 100 returning streams are proved

  Scenario: With a single release, streams are proved without any report
    Given 5 entries in touch, and endpoints of one release
    When each entry begins 20 streams, and after 100 ms other entries get their callers back
    Then all of 100 returning streams are proved
    And the leader holds 0 origins

  # Guards against returning streams that are refused: a former incarnation of the endpoint, with another release, was taken for a possible successor.
  Scenario: Streams of an endpoint that had another release before are proved
    Given 5 entries in touch, and endpoints of two releases
    And all endpoints have started again with the other release, and registered
    When each entry begins 20 streams, and after 100 ms other entries get their callers back
    Then all of 100 returning streams are proved

  Scenario: An unknown stream is not proved while two releases serve
    Given 5 entries in touch, and endpoints of two releases
    Then a stream that nobody has begun is not proved
    And a stream that another workspace has begun is not proved
