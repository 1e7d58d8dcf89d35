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

  # Guards against informational heads that are read until the caller's time is over.
  Scenario Outline: Informational heads without end are bounded
    Given an endpoint that sends informational heads <manner>
    When a caller sends a request that must not be repeated
    Then the caller receives status 502 within <limit> ms
    And the failed attempt is logged with "<bound>"
    And the endpoint's connection is closed

    Examples:
      | manner                                  | limit | bound       |
      | as fast as they are read                | 500   | more than 32 |
      | of 8000 bytes, as fast as they are read | 500   | 65536 bytes |

  Scenario: Some informational heads go before an answer
    Given an endpoint that sends 10 informational heads before its answer
    When a caller sends a request that must not be repeated
    Then the caller receives the answer

  Scenario: An informational head that comes too late is the last
    Given a request whose endpoint sends informational heads from its start and after 31000 ms
    Then the second one exceeds the bound of 30000 ms
