Feature: The platform's list

  # Guards against a list that is kept in memory without a bound, and that stops the leader's other duties when it can't be read.
  Scenario Outline: <list> counts as a list that can't be had
    Given a platform whose list is "<list>"
    When control fetches the list
    Then it has no list, and a line that says "<reason>"
    And the platform has sent fewer than 10000000 bytes

    Examples:
      | list                   | reason                      |
      | a body without end     | is larger than 1048576 bytes |
      | JSON that breaks off   | JSON                        |
      | an object              | it is no list               |
      | a status of trouble    | it answers 503              |

  Scenario: A whole list is read although bytes follow it
    Given a platform whose list is "whole, with bytes behind it"
    When control fetches the list
    Then it has 1 instance
