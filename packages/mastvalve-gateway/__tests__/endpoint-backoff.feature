Feature: Endpoints that ask for backoff, or say that they leave

  # An entry went on sending requests to an endpoint that had refused one and asked for 3 s of backoff.
  Scenario: Retry-After of a refusal keeps an entry away from the endpoint
    Given 5 entries that follow control
    And 3 recording endpoints
    When endpoint 0 refuses everything with Retry-After "3"
    And 240 requests arrive within 6000 ms, round-robin over the entries
    Then no entry sent endpoint 0 more than 2 requests between 500 ms after a refusal and the end of its backoff
    And all requests succeed

  # An entry went on sending requests to an endpoint whose answers said that it was leaving, while its heartbeats didn't.
  Scenario: A leaving endpoint gets no requests from entries that it has told
    Given 5 entries that follow control
    And 3 recording endpoints
    When endpoint 0 says in its answers that it is leaving
    And 160 requests arrive within 4000 ms, round-robin over the entries
    Then no entry sent endpoint 0 a request later than 500 ms after it had been told
    And all requests succeed

  Scenario: An entry that starts later learns from control that an endpoint is leaving
    Given 3 entries that follow control
    And 3 recording endpoints
    When endpoint 0 says in its answers that it is leaving
    And 30 requests arrive within 1000 ms, round-robin over the entries
    And the entries are restarted
    And 60 requests arrive within 1500 ms, round-robin over the entries
    Then endpoint 0 got nothing after the restart
    And all requests succeed

  Scenario: A leaving endpoint gets nothing more while no control instance answers
    Given 3 entries that follow control
    And 3 recording endpoints
    When control ends
    And endpoint 0 says in its answers that it is leaving
    And 60 requests arrive within 1500 ms, round-robin over the entries
    Then no entry sent endpoint 0 a request later than 500 ms after it had been told
    And all requests succeed

  Scenario: A request waits for the end of a backoff that leaves it in time
    Given 1 entry that follows control
    And 1 recording endpoint
    When endpoint 0 refuses everything with Retry-After "0.3"
    And 1 request arrives within 10 ms, round-robin over the entries
    And endpoint 0 takes requests again
    And 10 requests arrive within 100 ms, round-robin over the entries
    Then all requests but the first were answered

  Scenario: What can't be served before the backoff ends is refused at once, with the time left
    Given 1 entry that follows control
    And 1 recording endpoint
    When endpoint 0 refuses everything with Retry-After "5"
    And 20 requests arrive within 1000 ms, round-robin over the entries
    Then endpoint 0 got 1 request
    And every request was refused within 300 ms and told to come back after 3000 to 5500 ms

  # Endpoints were missing from the first part of a whole state; what the entry knew of them was forgotten.
  Scenario: A backoff outlives a whole state that arrives in parts
    Given a view of 2 endpoints, one of which has asked for backoff
    When a whole state arrives whose first part lacks that endpoint
    Then the endpoint is still backed off from

  # Each waiting request had a timer of its own that made all of them look.
  Scenario: Requests that wait for the same moment look once each, the most urgent first
    Given 200 requests that wait for capacity, every tenth of them urgent
    When they all expect it after 20 ms
    Then each has looked once, the urgent ones first
