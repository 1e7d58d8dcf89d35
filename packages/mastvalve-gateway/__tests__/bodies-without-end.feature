Feature: Bodies without end

  # Guards against bodies that take the entry's time until their callers' time is over.
  Scenario Outline: Bodies without end share a bounded rate
    Given an endpoint that sends <pieces> without end
    When 8 callers read such bodies for 1000 ms
    Then the entry has relayed at most <limit> kB

    Examples:
      | pieces                        | limit |
      | chunks of 65536 bytes         | 50000 |
      | chunks of 1 byte              | 200   |
      | bytes that nothing frames     | 50000 |
      | a body of a terabyte          | 50000 |

  Scenario Outline: A body without end is broken off at its bound
    Given an endpoint that sends chunks of 65536 bytes without end
    When a caller reads such a body of at most <tokens> tokens
    Then its answer breaks off behind <bytes> bytes, or 65536 fewer
    And the end "beyond-bound" is logged, and a failure of the endpoint recorded
    And the endpoint has no open connection

    Examples:
      | tokens | bytes    |
      | 0      | 67108864 |
      | 100    | 1458176  |

  Scenario: A body without end whose caller's time is over counts against its endpoint
    Given an endpoint that sends chunks of 65536 bytes without end
    When a caller reads such a body for its 1000 ms
    Then "answer.endless" is logged, and a failure of the endpoint recorded

  Scenario: A large body is relayed whole
    Given an endpoint that sends 320 chunks of 65536 bytes
    When a caller reads the whole answer
    Then it has all 20971520 bytes after at most 3000 ms
    And no failure of the endpoint is recorded

  # Guards against bodies that nobody wants, of answers that aren't passed on, and that are read until the request has ended.
  Scenario Outline: A refusal with a body without end is no longer read
    Given an endpoint that answers "<status>" with a body without end, and another that answers after 1500 ms
    When a caller sends a request that may be repeated
    Then it gets the answer of the other
    And less than 5000 kB of the body were sent
    And "answer.endless" is logged, and failures of the endpoint recorded

    Examples:
      | status          |
      | 503 and not run |
      | 500             |
