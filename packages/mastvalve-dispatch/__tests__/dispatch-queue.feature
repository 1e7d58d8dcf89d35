Feature: Claims wait at the leader while engines have enough prompts to read

  Scenario Outline: At 1.7 times the capacity with <entries> entries urgent work is served, and workspaces get their share
    Given <entries> entries before 8 engines with a queue at the leader, in virtual time
    When 1.7 times their capacity arrives for 30 s
    Then at least 0.9 of the capacity goes into requests in their objective
    And no kind has a smaller share in its objective than a less urgent one
    And no workspace is under its fair share by more than 0.1
    And every request was answered or refused before its deadline

    Examples:
      | entries |
      | 1       |
      | 26      |
      | 300     |

  Scenario: Below the capacity work with time to spare fills the valleys
    Given 26 entries before 8 engines with a queue at the leader, in virtual time
    When 0.7 times their capacity arrives for 30 s
    Then every kind has at least 0.97 in its objective
    And every request was answered or refused before its deadline

  Scenario: Without a queue 1.7 times the capacity wastes more than a tenth of it
    Given 26 entries before 8 engines without a queue, in virtual time
    When 1.7 times their capacity arrives for 30 s
    Then less than 0.9 of the capacity goes into requests in their objective

  Scenario: No engine is idle while a request that it could serve waits
    Then 300 random histories of a queue keep all engines at work

  Scenario Outline: A queue that <break> is caught
    Then some of 300 random histories find an idle engine if the queue "<break>"

    Examples:
      | break                             |
      | waits for the cheapest engine     |
      | looks at the first claim only     |
      | takes no notice of freed capacity |

  Scenario: The most urgent claim takes the engine that becomes free
    Given a queue before engine "A"
    When claims "a:2,b:2,c:1,d:0" arrive, each with its urgency, and "a" is assigned
    And the prompt of "a" is read
    Then "d" is assigned, and "b,c" wait

  Scenario: A claim whose caller has left is not assigned
    Given a queue before engine "A"
    When claims "a:0,b:0" arrive, each with its urgency, and "a" is assigned
    And the caller of "b" leaves
    And the prompt of "a" is read
    Then none is assigned, and none waits

  Scenario: Claims of an entry that no longer calls are dropped
    Given a queue before engine "A"
    When claims "a:0,b:0" arrive, each with its urgency, and "a" is assigned
    And the entry is silent for 4000 ms
    Then none is assigned, and none waits

  Scenario: The model of a waiting claim is unloaded everywhere
    Given a queue before engine "A"
    When claims "a:0,b:0" arrive, each with its urgency, and "a" is assigned
    And "A" no longer holds the model
    Then "b" has no holder, and none waits

  Scenario: A claim that can't be served before its deadline is refused at once, with the time by which it is late
    Given a queue before engine "A"
    When claims "a:0" arrive, each with its urgency, and "a" is assigned
    And 30 claims of 9000 tokens arrive whose callers wait for 3000 ms
    Then some are refused within 110 ms, with the time by which the last would be late

  # Claims whose time ran out were told to come back after 10 ms, whatever the queue.
  Scenario: Claims that ran out of time are told to come back at once
    Given a queue before engine "A"
    When claims "a:0" arrive, each with its urgency, and "a" is assigned
    And 9 claims of 9000 tokens arrive whose callers wait for 3000 ms
    And the prompts of 2 of them are read, and no other for 2300 ms
    Then all are refused within 10 ms, each with the time until the engine could have read it in 3000 ms

  Scenario: A workspace that floods the queue delays itself first
    Given a queue before engine "A"
    When claims "a:0" arrive, each with its urgency, and "a" is assigned
    And 20 claims of workspace "flood" arrive
    And 2 claims of workspace "calm" arrive
    Then of the first 4 that are assigned 2 are of workspace "calm"

  Scenario: A claim that is repeated waits once
    Given a queue before engine "A"
    When claims "a:0,b:0,b:0" arrive, each with its urgency, and "a" is assigned
    And the prompt of "a" is read
    Then "b" is assigned, and none waits
