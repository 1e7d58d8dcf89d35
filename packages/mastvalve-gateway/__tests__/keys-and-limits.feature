Feature: Keys, workspaces and limits at an entry

  Background:
    Given an entry where the workspace "w1" holds the key "secret-1", and an endpoint

  Scenario: The endpoint gets the workspace of the key, and neither the key nor what the caller says of a workspace
    When a caller asks with the key "secret-1" and names the workspace "w2"
    Then it gets status 200
    And the endpoint has seen the workspace "w1" once, and no "secret-1"

  Scenario Outline: Without a key that a workspace holds nothing is run
    When a caller asks with the field "<field>"
    Then it gets status 401
    And the endpoint got nothing

    Examples:
      | field                         |
      |                               |
      | Bearer secret-2               |
      | Bearer                        |
      | Basic secret-1                |
      | secret-1                      |
      | Bearer secret-1 secret-1      |
      | Bearer secret-1, Bearer other |

  Scenario: The scheme is taken in any case
    When a caller asks with the field "bEARER   secret-1"
    Then it gets status 200

  Scenario: Of two keys none is believed
    When a caller asks with the keys "secret-1" and "secret-1" in two fields
    Then it gets status 401
    And the endpoint got nothing

  Scenario: An anonymous route is open to anybody, and shows no key
    When a caller asks on an anonymous route with the key "secret-2"
    Then it gets status 200
    And the endpoint has seen no workspace, and no "secret-2"

  Scenario: A key that was taken away while its request waited is handed to nobody
    When a caller waits for a model with the key "secret-1", the key is taken away, and the model comes
    Then it gets status 401
    And the endpoint got nothing

  Scenario: An entry that control has not been sure of for too long serves no key, and says when to come back
    Given control was sure of the entry's keys 4600 ms ago
    When a caller asks with the key "secret-1"
    Then it gets status 503 and is told when to come back
    And the endpoint got nothing

  Scenario: An entry that is out of touch goes on with anonymous routes
    Given control was sure of the entry's keys 4600 ms ago
    When a caller asks on an anonymous route with the key "secret-1"
    Then it gets status 200

  Scenario: An entry that was suspended believes in no key until it has heard anew
    Given the entry was suspended for 5000 ms
    When a caller asks with the key "secret-1"
    Then it gets status 503 and is told when to come back
    And the endpoint got nothing

  Scenario: A request that comes after a suspension waits for the next word of control
    Given the entry was suspended for 5000 ms
    When a caller asks with the key "secret-1" and control answers 100 ms later
    Then it gets status 200

  Scenario: What was asked before a suspension proves nothing after it
    Given the entry was suspended for 5000 ms while its question was on the way
    When a caller asks with the key "secret-1"
    Then it gets status 503 and is told when to come back

  Scenario: A workspace that has reached its limit is refused at once, with the time until there is room
    Given the leader allows a request of "w1" in 700 ms
    When a caller asks with the key "secret-1"
    Then it gets status 429 and is told to come back in 0.7 s
    And the endpoint got nothing

  Scenario: What was claimed for a request that is not run is given back
    Given the endpoint refuses everything as not run
    When a caller asks with the key "secret-1"
    Then it gets status 503 and is told when to come back
    And the leader hears with the next call that the claim is given back

  Scenario: While no leader answers, a workspace goes on at the pace that it had
    When a caller asks 6 times with the key "secret-1"
    And the leader answers no more, and the caller asks 30 times
    Then some of them are served, and no more than the pace allows

  Scenario: Neither logs nor answers show a key
    When a caller asks with the key "secret-1" and with the unknown key "secret-2"
    Then no log line and no answer holds "secret"
