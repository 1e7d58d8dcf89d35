Feature: Engines copy kept prompts from each other

  Background:
    Given engines that copy a token in 0.0128 ms:
      | id | failureDomain |
      | A  | x             |
      | B  | y             |
      | C  | x             |
      | D  | y             |

  Scenario: A prompt that a busy engine has read is copied by an idle one
    When a prompt with parts "p,q" is read by "A"
    And "A" is busy
    Then a prompt with parts "p,q" copies 6300 tokens from "A"
    And its engine keeps 0 tokens itself

  Scenario: Only what a source keeps past the engine's own parts is copied
    When a prompt with parts "p,q" is read by "A"
    And a prompt with parts "p,r" is read by "B"
    And "A,C,D" are busy
    Then a prompt with parts "p,q" copies 4300 tokens from "A"
    And its engine keeps 2000 tokens itself

  Scenario: Engines that can't copy read
    Given engines that can't copy
    When a prompt with parts "p,q" is read by "A"
    And "A" is busy
    Then a prompt with parts "p,q" is read without a copy

  Scenario Outline: A prompt that was <kind> has nothing to copy
    When a prompt with parts "p,q" is <kind> by "A"
    And "A" is busy
    Then a prompt with parts "p,q" is read without a copy

    Examples:
      | kind      |
      | assigned  |
      | failed    |
      | cancelled |

  Scenario: Parts for another adapter are not copied
    When a prompt with parts "p,q" is read by "A"
    And "A" is busy
    Then a prompt for another adapter with parts "p,q" is read without a copy

  Scenario Outline: An engine that <fault> is no source
    When a prompt with parts "p,q" is read by "A"
    And "A" <fault>
    Then a prompt with parts "p,q" is read without a copy

    Examples:
      | fault                               |
      | falls silent                        |
      | fails a request                     |
      | leaves                              |
      | restarts under the same address     |
      | unloads its models by an order      |
      | unloads its models without an order |
      | reads 100 tokens more than it keeps |

  Scenario: An engine that the entry rules out is no source
    When a prompt with parts "p,q" is read by "A"
    Then a prompt with parts "p,q" that rules out "A" is read without a copy

  Scenario: Among equal sources that of the same failure domain is taken
    When a prompt with parts "p,q" is read by "A,B"
    And "A,B,C" are busy
    Then a prompt with parts "p,q" copies 6300 tokens from "B"

  Scenario: The source that keeps most is taken, also from another domain
    When a prompt with parts "p,q" is read by "A"
    And a prompt with parts "p,r" is read by "B"
    And "A,B,C" are busy
    Then a prompt with parts "p,q" copies 6300 tokens from "A"

  Scenario: Among equal sources of another domain that with the link that is free first is taken
    When a prompt with parts "p,q" is read by "A,C"
    And "A,C,B" are busy
    Then a prompt with parts "p,q" copies 6300 tokens from "A"
    When "D" is busy
    And "B" is idle again
    Then a prompt with parts "p,q" copies 6300 tokens from "C"

  # All engines would have waited for the one link longer than they need to read.
  Scenario: Copies that wait too long for the link of their source are not made
    When a prompt with parts "p,q" is read by "A"
    And "A" is busy
    Then of prompts with parts "p,q" on all other engines at once 2 copy from "A"
    When 200 ms have gone by
    Then a prompt with parts "p,s" on another engine copies 2000 tokens from "A"

  Scenario: An engine that has read after a copy is a source itself
    When a prompt with parts "p,q" is read by "A"
    And "A" is busy
    Then a prompt with parts "p,q" copies 6300 tokens from "A"
    When its engine has read it in 100 ms
    And "A" leaves
    And its engine is busy
    Then a prompt with parts "p,q" copies 6300 tokens from the engine before

  Scenario: A repeated claim copies from the same engine
    When a prompt with parts "p,q" is read by "A"
    And "A" is busy
    Then a prompt with parts "p,q" whose claim is repeated has the same decision twice

  Scenario: A prompt too short for a copy to pay is read
    When a prompt with parts "t" is read by "A"
    And "A" is busy
    Then a prompt with parts "t" is read without a copy

  Scenario: A new leader has nothing copied until it is told that a prompt was read
    When a prompt with parts "p,q" is read by "A"
    And another leader is elected
    And "A" is busy
    Then a prompt with parts "p,q" is read without a copy
    When another leader is elected, and is told of a run on "A" that has not begun
    And "A" is busy
    Then a prompt with parts "p,q" is read without a copy
    When another leader is elected, and is told of a run on "A" that has begun
    And "A" is busy
    Then a prompt with parts "p,q" copies 6300 tokens from "A"

  Scenario: An engine that restarts during its copy begins anew
    When a prompt with parts "p,q" is read by "A"
    And "A,C,D" are busy
    Then a prompt with parts "p,q" copies 6300 tokens from "A"
    When "B" restarts under the same address
    And 200 ms have gone by
    Then a prompt with parts "p,q" copies 6300 tokens from "A"
    And its engine keeps 0 tokens itself

  # The leader can't see what engines evict, or which of their parts they keep for one workspace only.
  Scenario: A source from which a copy brought nothing is not asked again for these parts
    When a prompt with parts "p,q" is read by "A"
    And "A" is busy
    Then a prompt with parts "p,q" copies 6300 tokens from "A"
    When its engine has read it in 210 ms
    And its engine is busy
    Then a prompt with parts "p,q" copies 6300 tokens from the engine before

  Scenario: Copies that bring nothing end, and are tried again after minutes
    When 60 copies of fresh parts bring nothing
    Then a further copy of fresh parts is not made
    When 180000 ms have gone by
    Then a further copy of fresh parts is made

  Scenario: Copies that bring all go on
    When 60 copies of fresh parts bring all
    Then a further copy of fresh parts is made

  Scenario: A copy pays if its caller is served sooner by it, and if it saves more than the links lose
    Then a copy that takes 80 ms of the links, ends after 140 ms and saves 130 ms pays:
      | ahead | pays  |
      | 0     | false |
      | 10    | false |
      | 11    | true  |
    And a copy that takes 80 ms of the links, ends after 80 ms and saves 79 ms pays:
      | ahead | pays  |
      | 0     | false |
      | 500   | false |

  Scenario Outline: What a copy has brought follows from the time that reading took
    Then a copy with which reading should take <with> ms and without <without> has brought "<share>" if it took <measured> ms

    Examples:
      | with | without | measured | share     |
      | 100  | 200     | 100      | 1         |
      | 100  | 200     | 80       | 1         |
      | 100  | 200     | 150      | 0.5       |
      | 100  | 200     | 400      | 0         |
      | 200  | 200     | 200      | undefined |
