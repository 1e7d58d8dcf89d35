Feature: Bytes behind whole answers

  # Guards against whole answers that are cut off because of bytes that follow them at once.
  Scenario Outline: A whole answer stays whole, whatever follows it
    Given an endpoint whose answers are followed at once by "<surplus>"
    When callers ask for whole answers of each form
    Then each gets its whole answer
    And no connection to the endpoint is used again
    And a failure of the endpoint is recorded for each

    Examples:
      | surplus                 |
      | bytes that are no answer |
      | another answer          |
      | interim heads           |
      | bytes without end       |

  Scenario: An answer that hasn't ended as announced stays broken off
    Given an endpoint whose answers are followed at once by "bytes that are no answer"
    When callers ask for answers that are cut before their ends
    Then none of them gets a whole answer

  # Guards against connections that are used again after bytes were dropped that came while their answer was unread.
  Scenario: A connection isn't used again after bytes that follow an unread answer
    Given an endpoint whose answers are followed after 300 ms by "another answer"
    When a caller begins to read a long answer after 600 ms
    Then it gets the long answer
    And the next request is sent on a new connection
