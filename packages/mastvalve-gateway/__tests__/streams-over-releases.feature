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

  Scenario: A caller that returns to another entry goes on at the release that began its stream
    Given 3 entries that follow control
    And 2 reporting endpoints of release "v1" and 2 of release "v2" that break new streams after 2 events
    When 24 callers begin streams at entry 0, and return to entry 1 after the events that they have
    Then each of these streams goes on with events of its release

  Scenario: A caller whose entry has ended goes on at another one
    Given 3 entries that follow control
    And 2 reporting endpoints of release "v1" and 2 of release "v2" that break new streams after 2 events
    When 24 callers begin streams at entry 0, entry 0 ends, and they return to entry 1 after the events that they have
    Then each of these streams goes on with events of its release

  Scenario: A returning stream that nobody knows is refused at once and not run while two releases serve
    Given 3 entries that follow control
    And 2 reporting endpoints of release "v1" and 2 of release "v2" that break new streams after 2 events
    When a caller returns to entry 1 with the stream "forged"
    Then it is refused as not run within 200 ms
    When a caller returns to entry 1 without the name of its stream
    Then it is refused as not run within 200 ms

  Scenario: A returning stream goes on without its name while a single release serves
    Given 3 entries that follow control
    And 2 reporting endpoints of release "v1" and 0 of release "v2" that break new streams after 2 events
    When a caller returns to entry 1 without the name of its stream
    Then it gets the events "3 4"

  # Guards against a rest of another release: the process behind a recorded endpoint had been replaced, and its entry had not heard of it.
  Scenario: A returning stream goes to no endpoint whose process has been replaced, as the leader knows
    Given 3 entries that follow control
    And 2 reporting endpoints of release "v1" and 2 of release "v2" that break new streams after 2 events
    When 8 callers begin streams at entry 0, entry 1 hears no more of endpoints, those of release "v1" restart with "v2", and the callers return to entry 1
    Then none of these streams has events of two releases

  # Guards against a rest of another release: its endpoint had crashed, as others knew, and the successor had not registered yet.
  Scenario: A returning stream doesn't go to an endpoint that has crashed
    Given 3 entries that follow control
    And 2 reporting endpoints of release "v1" and 1 of release "v2" that break new streams after 2 events
    When 24 callers begin streams at entry 0, endpoint 0 crashes and answers with "v2" before it registers, and the callers return to entry 1
    Then none of these streams has events of two releases

  # Guards against endpoints that go on with no stream until they restart: one refused connection had marked them as crashed, for all entries.
  Scenario: Streams go on at an endpoint that refused connections for a while and whose heartbeats go on
    Given 3 entries that follow control
    And 1 reporting endpoint of release "v1" and 1 of release "v2" that break new streams after 2 events
    When endpoint 0 refuses connections until all entries have heard of it, and sends heartbeats for 6500 ms
    And 12 callers begin streams at entry 0, and return to entry 1 after the events that they have
    Then each of these streams goes on with events of its release

  # Guards against a stream that is taken for one of its endpoint's release, although a successor with another release began it.
  Scenario: A stream that the successor of a crashed endpoint began isn't taken up
    Given 3 entries that follow control
    And 2 reporting endpoints of release "v1" and 1 of release "v2" that break new streams after 2 events
    When endpoint 0 crashes and answers with "v2" before it registers, 24 callers begin streams at entry 0, and return to entry 1 after the events that they have
    Then none of these streams has events of two releases

  # Guards against an origin recorded by an entry that could not have heard of the crash: what it knows of endpoints was old.
  Scenario: A stream that began at an entry without news of endpoints isn't taken up
    Given 3 entries that follow control
    And 2 reporting endpoints of release "v1" and 1 of release "v2" that break new streams after 2 events
    When entry 0 hears no more of endpoints for 1200 ms
    And endpoint 0 crashes and answers with "v2" before it registers, 24 callers begin streams at entry 0, and return to entry 1 after the events that they have
    Then none of these streams has events of two releases

  # Guards against a refusal of streams whose beginning is still on its way to the leader.
  Scenario: Callers that return to another entry right after the first event go on at their first try
    Given 3 entries that follow control
    And 2 reporting endpoints of release "v1" and 2 of release "v2" that break new streams after 2 events
    When 12 callers, one after the other, leave entry 0 with the first events of their streams and return to entry 1 at once
    Then each of these callers has all events of one release
