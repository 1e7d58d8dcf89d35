Feature: Callers' connections

  # Guards against answers that Node's HTTP server writes by itself: 408 promised that a request had not run while it ran.
  Scenario: What a caller sends behind a request doesn't take the place of its answer
    Given an entry with an endpoint that answers after 4200 ms
    When callers send these behind a request that must not be repeated
      | a part of a request line  |
      | a part of a head          |
      | bytes that are no request |
      | a head that is too large  |
      | a chunk without a length  |
      | a request to open a tunnel |
      | a body that is too large  |
      | a body that stops         |
      | nothing                   |
    Then each gets the whole answer to its request
    And the connections of all but the last are closed behind the answer

  # Guards against streams that are cut off by the time limit of a head that their caller has begun behind them.
  Scenario: What a caller sends behind a request doesn't cut off its stream
    Given an entry with an endpoint that streams for 4200 ms
    When callers send these behind a request that must not be repeated
      | a part of a request line  |
      | a part of a head          |
      | bytes that are no request |
      | a head that is too large  |
      | a chunk without a length  |
      | a request to open a tunnel |
      | nothing                   |
    Then each gets the whole answer to its request
    And the connections of all but the last are closed behind the answer

  Scenario: A request that is completed while the one before it runs is served
    Given an entry with an endpoint that answers after 4200 ms
    When a caller sends a request, a part of the next one, and its rest after 3800 ms
    Then it gets the answers to both requests

  # Guards against requests that run and are cut off: Node closes a connection behind the first answer that says so.
  Scenario: Requests that were sent at once are answered by an entry that stops
    Given an entry with an endpoint that answers after 300 ms
    When the entry stops, and a caller sends two requests at once
    Then it gets the answers to both requests
    And its connection is closed

  Scenario: A caller that leaves behind bytes that are no request is noticed
    Given an entry with an endpoint that answers after 4200 ms
    When callers send these behind a request that must not be repeated, and leave
      | a part of a request line   |
      | bytes that are no request  |
      | a request to open a tunnel |
    Then the endpoint's requests are cancelled within 500 ms

  Scenario: A caller that sends bytes without end behind a request is disconnected
    Given an entry with an endpoint that answers after 4200 ms
    When a caller sends bytes that are no request behind a request until it is disconnected
    Then the endpoint's requests are cancelled within 500 ms

  Scenario: Bytes that are no request are answered where no request is unanswered
    Given an entry with an endpoint that answers after 0 ms
    When callers send only these
      | a part of a request line  |
      | bytes that are no request |
      | a head that is too large  |
    Then they get the statuses 408, 400 and 431, and their connections are closed

  # Guards against a promise that nobody has asked for: it could be read as the answer to a request that is on its way.
  Scenario: A connection on which nothing was sent is closed without an answer
    Given an entry with an endpoint that answers after 0 ms
    When a caller opens a connection and sends nothing
    Then its connection is closed without a byte

  # Guards against fields that Node's parser drops silently beyond 2000 of them.
  Scenario: A request with thousands of fields reaches its endpoint with all of them
    Given an entry with an endpoint that answers after 0 ms
    When a caller sends a request with 2500 fields
    Then the endpoint receives all of them

  Scenario: A request that expects something unknown is served
    Given an entry with an endpoint that answers after 0 ms
    When a caller sends a request that expects something unknown
    Then it gets the whole answer

  # Guards against requests that are held for ever since the rest of their bodies doesn't come.
  Scenario: A request whose body isn't whole in its caller's time is refused
    Given an entry with an endpoint that answers after 0 ms
    When a caller with 400 ms left sends a part of its body
    Then each of them gets the status 408
    And the endpoint has received no request

  # Guards against a reset that overtakes the refusal: the connection was closed while its caller still sent.
  Scenario: Callers of bodies that are too large read that they are
    Given an entry with an endpoint that answers after 0 ms
    When 30 callers send bodies of 8 MB in chunks
    Then each of them gets the status 413

  # Guards against bodies whose parts cost more memory than their bytes.
  Scenario: A body in parts of one byte is kept in one buffer
    When a buffer for a body takes 300000 parts of one byte
    Then it keeps at most 64 KB more, and returns all of them

  # Guards against an entry that is killed at the end of its grace since a caller's body doesn't come.
  Scenario: An entry that stops doesn't wait for bodies
    Given an entry with an endpoint that answers after 0 ms
    When a caller with 9000 ms left sends a part of its body
    And the entry stops
    Then each of them gets the status 503
    And the entry has stopped within 3000 ms
