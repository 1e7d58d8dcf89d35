Feature: Heads of endpoints' answers

  # Guards against fields that Node's parser drops silently beyond 1000 of them: the identity of the request among them made 502 of a served one.
  Scenario: An answer with thousands of fields reaches its caller with all of them
    Given an endpoint that names the request behind 2500 other fields
    When a caller sends a request that must not be repeated
    Then the caller receives the answer with all of its fields

  Scenario: A head that is too large is named with its bound
    Given an endpoint that answers with a head of 20000 bytes
    When a caller sends a request that must not be repeated
    Then the caller receives status 502 within 500 ms
    And the failed attempt is logged with "16384 bytes"
