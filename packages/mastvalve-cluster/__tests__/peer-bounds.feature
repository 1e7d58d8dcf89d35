Feature: Bounds of calls between instances

  # Guards against memory that one peer's bytes fill: bodies were collected and unpacked without a bound.
  Scenario Outline: An answer beyond a bound fails its call: <answer>
    Given a peer that answers with "<answer>"
    When an instance that reads up to 64 KB calls it
    Then the call fails with a message that names the peer, the call and the bound, and is counted
    And the connection is closed within 500 ms

    Examples:
      | answer                       |
      | a body in chunks without end |
      | a body that unpacks to 8 MB  |
      | informational heads          |
      | a head without end           |

  Scenario Outline: A call beyond a bound is not handled: <call>
    Given an instance that reads up to 64 KB of a call, and waits 300 ms for a byte of it
    When a peer sends "<call>"
    Then no call is handled, and a message names the peer, the call and the bound
    And the connection is closed within 1000 ms

    Examples:
      | call                              |
      | a body in chunks without end      |
      | a body that unpacks to 8 MB       |
      | a body that stops                 |
      | an unknown call without end       |

  # The largest transfers are configurations; links of 7 Mbit/s take long for them.
  Scenario: A large and slow body that goes on passes
    Given an instance that reads up to 64 KB of a call, and waits 300 ms for a byte of it
    When a peer sends "60 KB in 10 pieces over a second"
    Then the call is handled
