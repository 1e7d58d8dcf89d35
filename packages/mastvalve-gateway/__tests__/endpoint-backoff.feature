Feature: Endpoints that ask for backoff, or say that they leave

  # An entry went on sending requests to an endpoint that had refused one and asked for 3 s of backoff.
  Scenario: Retry-After of a refusal keeps an entry away from the endpoint
    Given 5 entries that follow control
    And 3 endpoints that count what they get
    When endpoint 0 refuses everything with Retry-After "3"
    And 240 requests come within 6000 ms, at one entry after the other
    Then no entry sent endpoint 0 more than 2 requests between 500 ms after a refusal and the end of its backoff
    And all requests were answered

  # An entry went on sending requests to an endpoint whose answers said that it was leaving, while its heartbeats didn't.
  Scenario: A leaving endpoint gets no requests from entries that it has told
    Given 5 entries that follow control
    And 3 endpoints that count what they get
    When endpoint 0 says in its answers that it is leaving
    And 160 requests come within 4000 ms, at one entry after the other
    Then no entry sent endpoint 0 a request later than 500 ms after it had been told
    And all requests were answered
