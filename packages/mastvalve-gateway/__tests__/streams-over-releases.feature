Feature: Streams over several releases of the endpoints' software

  # Guards against an answer whose events come from two releases: a broken stream was resumed at any endpoint of its service.
  Scenario: A broken stream goes on only at an endpoint of the release that began it
    Given an endpoint of release "v1" that breaks each stream after 2 events
    And an endpoint of release "v2" that sends the following events
    And an endpoint of release "v1" that sends the following events
    When a caller requests a stream from each of 20 new entries
    Then each of its streams has the events "1 2 3 4" and is complete
    And endpoint 1 has received 0 requests

  Scenario: A broken stream without another endpoint of its release is cut off at once
    Given an endpoint of release "v1" that breaks each stream after 2 events
    And an endpoint of release "v2" that sends the following events
    When a caller requests a stream from each of 5 new entries
    Then each of its streams has the events "1 2" and is broken off within 200 ms
    And endpoint 1 has received 0 requests

  Scenario: A stream that broke off before its first event goes on at any release
    Given an endpoint of release "v1" that breaks each stream after 0 events
    And an endpoint of release "v2" that sends the following events
    When a caller requests a stream from each of 5 new entries
    Then each of its streams has the events "1 2 3 4" and is complete
