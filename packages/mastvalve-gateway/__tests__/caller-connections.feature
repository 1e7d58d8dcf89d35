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
