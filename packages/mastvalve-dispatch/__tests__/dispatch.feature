Feature: The leader chooses engines

  Scenario: A hot model with one holder goes there however long its queue is
    Given engines "A" that hold "hot"
    And engines "B" that hold "cold"
    When 60 claims of "hot" arrive at once
    Then all are assigned to "A"

  Scenario: When all holders are suspect, the best of them is chosen
    Given engines "A,B" that hold "hot"
    When a claim of "hot" fails on "A"
    And a claim of "hot" fails on "B"
    And a claim of "hot" arrives 100 ms later
    Then it is assigned to one of "A,B"

  Scenario: A failure that one entry sees keeps all others away from the engine
    Given engines "A,B" that hold "hot"
    When a claim of "hot" fails on "A"
    And 10 claims of "hot" arrive at once
    Then all are assigned to "B"

  Scenario: A model without a holder
    Given engines "A" that hold "cold"
    When a claim of "hot" arrives 0 ms later
    Then it has no holder

  Scenario: Runs of an entry that no longer calls are dropped
    Given engines "A" that hold "hot"
    When 5 claims of "hot" arrive at once
    Then 5 runs are in progress 2900 ms later
    And 0 runs are in progress 3100 ms later
    And no entry is remembered

  # Guards against answers that engines generate without counting: a run was dropped when its caller would have given up waiting for the first
  # byte, although the answer had begun and went on for longer.
  Scenario: A run counts for as long as its answer may take
    Given engines "A" that hold "hot"
    When a claim of "hot" arrives whose caller waits 2000 ms for the first byte and 9000 ms for the end
    Then 1 runs are in progress after 9900 ms with calls
    And 0 runs are in progress after 200 ms with calls

  Scenario: A new leader adopts the runs of an entry before the entry calls again
    Given engines "A,B" that hold "hot"
    When a new leader adopts 4 runs of "hot" on "A"
    Then 4 runs are in progress 100 ms later
    And the next claim of "hot" is assigned to "B"

  Scenario: An engine that is gone is forgotten, and one that comes back has read nothing
    Given engines "A" that hold "hot"
    When a prompt of "hot" with parts "p,q" is served by "A"
    Then the same prompt finds 6300 tokens on "A"
    When "A" is gone for a sweep and comes back
    Then 0 runs are in progress 0 ms later
    And the same prompt finds 0 tokens on "A"

  Scenario: Losing the engine that keeps a shared part costs one read
    Given engines "A,B" that hold "hot"
    When a prompt of "hot" with parts "p,q" is served by "A"
    And "A" is gone for a sweep
    Then the same prompt finds 0 tokens on "B"
    And the same prompt finds 6300 tokens on "B"

  Scenario Outline: An engine that turns <turn> is noticed with its next answer
    Given engines "A,B" that hold "hot"
    And 1 prompts of 800 tokens are queued on "B"
    When an answer of "A" reports that it works <before> times slower
    And 50 ms pass without an answer
    And an answer of "A" reports that it works <after> times slower
    Then the next claim of "hot" is assigned to "<chosen>"

    Examples:
      | turn | before | after | chosen |
      | slow | 1      | 2.5   | B      |
      | fast | 2.5    | 1     | A      |

  # The expected end of all reading had passed, so the engine with the longest queue seemed to be idle.
  Scenario: An engine that reads slower than expected seems idle while prompts are queued there
    Given engines "A,B" that hold "hot"
    When 4 prompts of 9000 tokens are queued on "A"
    And 1 prompts of 9000 tokens are queued on "B"
    And 1100 ms pass without an answer
    Then the next claim of "hot" is assigned to "B"

  # The oldest prompt was taken for the one in reading, although engines read the most urgent first.
  Scenario: An engine that reads urgent prompts first seems stalled by the others
    Given engines "A,B" that hold "hot"
    And the heartbeats of "B" are overdue
    When a prompt waits on "A" while 8 more urgent ones are read there, one each 300 ms
    Then the next claim of "hot" is assigned to "A"

  # Parts that ten runs share were counted ten times, so engines with many runs of one part seemed full.
  Scenario: Parts that running requests share are counted for each of them
    Given engines "A,B" that hold "hot" and keep 40000 tokens
    And the heartbeats of "B" are overdue
    When 6 runs of "hot" with the same parts generate on "A"
    Then the next claim of "hot" is assigned to "A"

  # Running requests and kept parts share the engine's tokens.
  Scenario: Parts seem kept that running requests have displaced
    Given engines "A" that hold "hot" and keep 24000 tokens
    When a prompt of "hot" with parts "p,q" is served by "A"
    And 2 prompts of 7500 tokens are queued on "A"
    And a prompt of "hot" with parts "r,s" is served by "A"
    Then the same prompt finds 6300 tokens on "A"
    And a prompt with parts "p,q" finds 0 tokens on "A"

  # The leader kept counting on prompts of a model that was unloaded and loaded again.
  Scenario: Prompts of an unloaded model seem kept
    Given engines "A" that hold "hot"
    When a prompt of "hot" with parts "p,q" is served by "A"
    And "hot" is unloaded from "A" for a sweep
    Then the same prompt finds 0 tokens on "A"

  Scenario: An order to unload a model drops its prompts at once, and those of its adapters
    Given engines "A" that hold "hot"
    When a prompt of "hot" with parts "p,q" is served by "A"
    And the leader learns that "hot" was unloaded from "A"
    Then the same prompt finds 0 tokens on "A"

  # "org" was unloaded, and prompts of "org/hot" were dropped too, since names of models may contain a slash.
  Scenario: Unloading a model drops the prompts of one whose name begins alike
    Given engines "A" that hold "org/hot"
    When a prompt of "org/hot" with parts "p,q" is served by "A"
    And the leader learns that "org" was unloaded from "A"
    Then the same prompt finds 6300 tokens on "A"

  # A prompt counted as harmless if its own route limits no pauses, so chats went where long prompts are read.
  Scenario: Long prompts whose route limits no pauses seem to interrupt no answer
    Given engines "A,B" that hold "hot"
    When a prompt of "hot" with parts "p,q" is served by "B"
    And 3 prompts of 20000 tokens are read on "A"
    Then the next claim of "hot" is assigned to "B"

  # An answer of the leader was lost, the entry asked again, and the first assignment stayed with its engine for ever.
  Scenario: A repeated claim is counted on two engines
    Given engines "A,B" that hold "hot"
    When a claim of "hot" is repeated 3 times with the same id
    Then all have the same engine
    And 1 runs are in progress 0 ms later

  Scenario: A repeated claim that rules out its engine goes to another
    Given engines "A,B" that hold "hot"
    When a claim of "hot" is repeated with the same id and without its engine
    Then the two have different engines
    And 1 runs are in progress 0 ms later
