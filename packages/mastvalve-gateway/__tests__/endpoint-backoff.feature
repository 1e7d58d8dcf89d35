Feature: Endpoints that request backoff, or report that they are leaving

  # Guards against an entry that keeps sending requests to an endpoint after a refusal that requests 3 s of backoff.
  Scenario: An entry backs off from an endpoint for the Retry-After of a refusal
    Given 5 entries that follow control
    And 3 recording endpoints
    When endpoint 0 refuses all requests with Retry-After "3"
    And 240 requests arrive within 6000 ms, round-robin over the entries
    Then no entry sends endpoint 0 more than 2 requests between 500 ms after a refusal and the end of its backoff
    And all requests succeed

  # Guards against an entry that keeps sending requests to an endpoint whose answers, but not its heartbeats, report that it is leaving.
  Scenario: A leaving endpoint receives no requests from entries that have received this in an answer
    Given 5 entries that follow control
    And 3 recording endpoints
    When endpoint 0 reports in its answers that it is leaving
    And 160 requests arrive within 4000 ms, round-robin over the entries
    Then no entry sends endpoint 0 a request later than 500 ms after it received such an answer
    And all requests succeed

  Scenario: An entry that starts later receives from control that an endpoint is leaving
    Given 3 entries that follow control
    And 3 recording endpoints
    When endpoint 0 reports in its answers that it is leaving
    And 30 requests arrive within 1000 ms, round-robin over the entries
    And the entries are restarted
    And 60 requests arrive within 1500 ms, round-robin over the entries
    Then endpoint 0 receives no request after the restart
    And all requests succeed

  Scenario: A leaving endpoint receives no more requests while no control instance answers
    Given 3 entries that follow control
    And 3 recording endpoints
    When control stops
    And endpoint 0 reports in its answers that it is leaving
    And 60 requests arrive within 1500 ms, round-robin over the entries
    Then no entry sends endpoint 0 a request later than 500 ms after it received such an answer
    And all requests succeed

  Scenario: A request waits for the end of a backoff that ends before its deadline
    Given 1 entry that follows control
    And 1 recording endpoint
    When endpoint 0 refuses all requests with Retry-After "0.3"
    And 1 request arrives within 10 ms, round-robin over the entries
    And endpoint 0 accepts requests again
    And 10 requests arrive within 100 ms, round-robin over the entries
    Then all requests but the first succeed

  Scenario: A request that cannot wait until the backoff ends is refused at once, with the remaining backoff
    Given 1 entry that follows control
    And 1 recording endpoint
    When endpoint 0 refuses all requests with Retry-After "5"
    And 20 requests arrive within 1000 ms, round-robin over the entries
    Then endpoint 0 receives 1 request
    And every request is refused within 300 ms, with a Retry-After of 3000 to 5500 ms

  # Guards against lost observations of endpoints that are not on the first page of a snapshot.
  Scenario: A backoff survives a snapshot that arrives in pages
    Given a view of 2 endpoints, one of which is in backoff
    When a snapshot arrives whose first page lacks that endpoint
    Then the endpoint is still in backoff

  # Guards against a timer of each waiting request that makes all of them recheck.
  Scenario: Requests that wait for the same time recheck once each, the most urgent first
    Given 200 requests that wait for capacity, every tenth of them urgent
    When all of them schedule a recheck in 20 ms
    Then each has rechecked once, the urgent ones first
