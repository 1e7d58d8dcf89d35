Feature: Connections of the programs' servers

  # Guards against statuses that Node's HTTP server writes by itself in the place of the answer to a request that runs.
  Scenario: What a caller sends behind a request doesn't take the place of its answer
    Given a program that answers after 700 ms and takes a head for at most 100 ms
    When callers of it send these behind a request
      | a part of a request line   |
      | a part of a head           |
      | bytes that are no request  |
      | a head that is too large   |
      | a chunk without a length   |
      | a request to open a tunnel |
      | nothing                    |
    Then each caller of it gets the whole answer to its request
    And faults of its connections are recorded with the request that was unanswered, but for the last
    And the connections of its callers are closed behind the answer, but for the last

  Scenario: Bytes that are no request are answered where no request is unanswered
    Given a program that answers after 0 ms and takes a head for at most 100 ms
    When callers of it send only these
      | a part of a request line  |
      | bytes that are no request |
      | a head that is too large  |
    Then its callers get the statuses 408, 400 and 431, and their connections are closed

  # Guards against an idempotency key that is dropped silently: the parser of Node keeps about a thousand fields.
  Scenario: A request with thousands of fields is read with all of them
    Given a program that answers after 0 ms and takes a head for at most 100 ms
    When a caller of it sends a request with 2500 fields before its idempotency key
    Then the program has read the idempotency key

  Scenario: A request that expects something unknown is served
    Given a program that answers after 0 ms and takes a head for at most 100 ms
    When a caller of it sends a request that expects something unknown
    Then each caller of it gets the whole answer to its request
