Feature: Promises hold when processes fail

  Scenario: The leader is killed, and a resent request gets its first answer
    Given the small deployment runs with its intent confirmed
    When an operator's confirmed request is resent after the leader was killed
    Then it gets its first answer
    And the killed instance returns and follows

  Scenario: All control instances are killed at once and lose nothing
    Given the small deployment runs with its intent confirmed
    When all control instances are killed and started again
    Then the same version is in force and chats stream through every entry

  Scenario: A lost disk returns under a new identity, and a second loss right after loses nothing
    Given the small deployment runs with its intent confirmed
    When a follower loses its disk and is repaired
    And another control instance is killed right after
    Then the same version is in force and chats stream through every entry

  Scenario: A frozen leader that wakes gives no answers as fresh
    Given the small deployment runs with its intent confirmed
    When the leader is frozen until another one leads, and then wakes
    Then it answers only as a follower

  Scenario: An instance that missed 500 changes catches up
    Given the small deployment runs with its intent confirmed
    When a follower is away for 500 changes
    Then it catches up

  Scenario: Two operators with equal versions race, and one wins
    Given the small deployment runs with its intent confirmed
    When two operators confirm different plans of the same version
    Then one is told its version and the other exactly that it lost

  Scenario: Streams that break off go on after exactly the tokens sent
    Given the small deployment runs with its intent confirmed
    When every stream of "engine-1" breaks off after 5 tokens
    Then 10 chats are whole and as the engine would write them

  Scenario: A call whose answer is lost after its effect is never repeated
    Given the small deployment runs with its intent confirmed
    When a loan's answer is lost after its effect
    Then a repeat through the other entry is told that its outcome is unknown
    And the loan was recorded once

  Scenario: An entry is killed between dispatch and answer
    Given the small deployment runs with its intent confirmed
    When an entry is killed while a loan runs
    Then a repeat through the other entry does not run it again
    And the loan was recorded once

  Scenario: Repeats of a finished call get its kept answer, also after all of control was killed
    Given the small deployment runs with its intent confirmed
    When a loan is recorded
    And all control instances are killed and started again
    Then a repeat through the other entry gets the kept answer
    And the loan was recorded once

  Scenario: Without a majority a loan is refused as not run
    Given the small deployment runs with its intent confirmed
    When two control instances are killed
    Then a loan is refused as not run
    And the loan was recorded never
    And chats still stream through every entry

  Scenario: A planned stop of each program cuts nothing
    Given the small deployment runs with its intent confirmed
    When an entry, a sidecar and the leader are stopped as planned while chats stream
    Then all those chats are whole and every stopped program ended with code 0

  # Guards against requests that are cut off by a repeated signal: it ended the program at once.
  Scenario: A stop that is signalled several times cuts nothing
    Given the small deployment runs with its intent confirmed
    When an entry, a sidecar and the leader are stopped by three signals each while chats stream
    Then all those chats are whole and every stopped program ended with code 0


  Scenario: An endpoint that the platform's list shows as leaving gets nothing new
    Given the small deployment runs with its intent confirmed
    When the platform's list shows "engine-1" as leaving
    Then chats are soon served by "engine-2" alone and all are whole

  Scenario: Orders that are lost, late and repeated never overcommit an engine that checks no tokens
    Given the small deployment with engines that check no tokens runs
    When half of all orders are lost, late or repeated while models come and go
    Then no engine was ever given more than it holds and every model is reachable
