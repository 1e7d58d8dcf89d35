Feature: Requests whose engines the leader chooses

  Scenario: The leader's choice is followed, and the run is reported to its end
    Given an entry with two endpoints, whose leader assigns each claim to e1
    When a safe request is sent
    Then it is answered with 200 by endpoint 1
    And the leader has heard of a run that has completed

  Scenario: A service whose endpoints report no speed is never asked about
    Given an entry with two endpoints, whose leader is asked only about shared services
    When a safe request is sent
    Then it is answered with 200 by any endpoint
    And the leader has had no calls

  Scenario: The leader names an endpoint that the entry doesn't know
    Given an entry with two endpoints, whose leader assigns each claim to e9
    When a safe request is sent
    Then it is answered with 200 by any endpoint
    And the claim is given back

  # Guards against callers who are told to return after they have given up, or at once.
  Scenario Outline: The leader refuses
    Given an entry with two endpoints, whose leader refuses with <named> ms
    When a safe request is sent
    Then it is refused as not run, with a delay of <least> to <most> s
    And no endpoint has had a request

    Examples:
      | named | least | most  |
      | 0     | 0.05  | 0.05  |
      | 400   | 0.4   | 0.4   |
      | 60000 | 1.5   | 1.667 |

  Scenario: The leader queues a claim and assigns it later
    Given an entry with two endpoints, whose leader queues each claim and assigns it to e1 after 100 ms
    When a safe request is sent
    Then it is answered with 200 by endpoint 1

  # Guards against requests that hold a draining entry: it waited for the leader's queue although another entry could have served them.
  Scenario: An entry drains while a claim is queued
    Given an entry with two endpoints, whose leader queues all claims for ever
    When a safe request is sent, and the entry drains after 100 ms
    Then it is refused as not run, with a delay of 0.05 to 1.7 s
    And the claim is given back

  # Guards against a 504 that says "may have run" about a request that was only ever queued.
  Scenario: A claim is queued until its caller gives up
    Given an entry with two endpoints, whose leader queues all claims for ever
    When a safe request is sent
    Then it is refused as not run, with a delay of 0.05 to 1.7 s
    And the claim is given back

  Scenario: An unsafe request whose engine breaks off runs once, although the leader would assign it again
    Given an entry with two endpoints that break off, whose leader assigns each claim to e1
    When an unsafe request is sent
    Then its outcome is unknown, and it has run once
