Feature: Endpoints that are recorded as crashed and turn out to be alive

  # Guards against one refused connection that takes an endpoint out of use for streams until it restarts, although its heartbeats go on.
  Scenario: Heartbeats that go on refute a crash
    Given an endpoint that is reported as crashed at 0 ms
    When its heartbeats arrive at "5100" ms
    Then the crash is refuted at 5200 ms

  # Guards against a successor's streams that are taken for the predecessor's: heartbeats arrive late, also after a crash.
  Scenario: Heartbeats that were on their way at the crash don't refute it
    Given an endpoint that is reported as crashed at 0 ms
    When its heartbeats arrive at "100 1300 2500 4900" ms
    Then the crash is not refuted at 60000 ms

  Scenario: A further refused connection begins the time anew
    Given an endpoint that is reported as crashed at 0 ms
    When its heartbeats arrive at "5100" ms
    And it is reported as crashed at 5150 ms
    And its heartbeats arrive at "10000" ms
    Then the crash is not refuted at 10100 ms
    When its heartbeats arrive at "10200" ms
    Then the crash is refuted at 10300 ms

  Scenario: A new leader doesn't count heartbeats from before its beginning
    Given an endpoint that is reported as crashed at 0 ms
    When a new leader begins at 5000 ms
    And its heartbeats arrive at "5100" ms
    Then the crash is not refuted at 5200 ms
    When its heartbeats arrive at "10100" ms
    Then the crash is refuted at 10200 ms
