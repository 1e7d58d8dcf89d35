Feature: Which engine holds which model

  Scenario: A busy model that nobody holds goes before rare ones that wait
    Given 2 engines with one free place each, and weights of no model on their disks
    When a rare model and a busy one are waited for
    Then the busy one is loaded first

  Scenario: The store is not used for a rare model while an engine has its weights
    Given 2 engines of which one is loading and has the weights of a rare model on its disk
    When the rare model is waited for
    Then nothing is moved

  # The load: demand moves within a second to a model whose weights lie on one engine's disk, beside a model with some demand.
  Scenario: A busy model is loaded where its weights are near, also when the place there is worth something
    Given an idle engine without weights of "e", and one with them on its disk whose model gets 16.0 requests a second
    When "e" is waited for, with 12.0 requests a second
    Then it is loaded from the disk

  # The load: an engine in need takes a few requests a second; its callers are sent back, while other engines have time and places.
  Scenario: A model whose only engine takes fewer requests than come gets another one
    Given 2 engines with a place for one more model, of which one holds "a" and takes 1.7 requests a second
    When "a" is asked for, with 3.0 requests a second
    Then "a" is loaded at the other engine

  Scenario: A model whose engines take what comes gets no other one
    Given 2 engines with a place for one more model, of which one holds "a" and takes 30.0 requests a second
    When "a" is asked for, with 3.0 requests a second
    Then nothing is moved

  Scenario: A model that waits for room at its only engine gets another one
    Given 2 engines with a place for one more model, of which one holds "a" and takes 1.7 requests a second
    When "a" is waited for, with 0.4 requests a second
    Then "a" is loaded at the other engine

  Scenario: The last engine of a model that is asked for does not lose it to a second engine of another
    Given 2 full engines that hold different models, all asked for
    Then a model with more demand gets no second engine in their place

  Scenario: A second engine of a model that demand is about to reach does not give way to a rare one
    Given 2 full engines that hold the models "acd" and "bce"
    When the models are asked for at "14 1 0 0.5 0.5 0.2" requests a second
    And the model "f" is waited for
    Then "c" does not give way

  Scenario: Demand that has moved by some places is expected to move by as many
    Given demand that was seen at "20 8 6 0 0 0" requests a second, then at "0 0 0 20 8 6"
    Then the step is 3

  Scenario: A model that is ahead for a moment only shows no step
    Given demand that was seen at "20 8 6 0 0 0" requests a second, then at "0 0 0 20 8 6"
    When demand is "0 0 0 8 20 6" requests a second for 500 ms
    Then the step is 3

  Scenario: Demand without one busiest model shows no step
    Given demand that was seen at "20 18 6 0 0 0" requests a second, then at "0 0 20 18 8 6"
    Then no step was seen

  Scenario: The model that demand reaches next is expected to be the busiest of the others
    Given demand that was seen at "20 8 6 0 0 0" requests a second, then at "0 20 8 6 0 0"
    Then at "0 20 8 6 0 0" requests a second the busiest of the other models is expected to be "c"

  Scenario: Urgent demand is not expected to reach a model whose callers have time
    Given 2 full engines that hold the models "abc" and "def"
    When the models are asked for at "14 1 0 0.5 0.5 0.2" requests a second, "c" only by callers with time
    Then "c" is expected to be asked for at 0 requests a second
    And "d" is expected to be asked for at 10.5 requests a second

  Scenario: A model with too few engines goes before a rare one that somebody waits for
    Given 2 full engines that hold the models "abc" and "bcd"
    When the models are asked for at "20 0.1 0.1 0.1 0 0.2" requests a second, "f" only by callers with time
    And the model "f" is waited for
    Then "a" is loaded first

  Scenario: A model whose callers have time gives way before one whose callers have none
    Given 2 full engines that hold the models "abc" and "dea"
    When the models are asked for at "8 2 1 1 1 1" requests a second, "b" only by callers with time
    And the model "f" is waited for
    Then "b" gives way

  Scenario: What is expected before the first request fades after it
    Given an estimate that expects 10 requests a second for "b"
    When the first requests come, for "a"
    Then "b" counts for more than 7 requests a second 1000 ms later
    And "b" counts for less than 1 request a second 12000 ms later

  Scenario Outline: How many engines a model gets follows from how fast they begin answers
    Given 2 engines, one of which holds "a", that begin an answer in <head> ms
    When "a" is asked for at <rate> requests a second
    Then another engine loads "a": <loads>

    Examples:
      | head | rate | loads |
      | 125  | 3    | no    |
      | 125  | 6    | yes   |
      | 62   | 6    | no    |
      | 62   | 12   | yes   |
      | 250  | 1.5  | no    |
      | 250  | 3    | yes   |

  Scenario: A model gets another engine because of what its engine does for others
    Given 2 engines, one of which holds "a" and a busy "b"
    Then another engine loads "a" or "b"

  Scenario: The place of another engine is the one that is used least
    Given a busy engine with "a", one that is used much and one that is used little
    Then the one that is used little loads "a"

  Scenario: A load that is under way does not make the last engine of a model give it up
    Given an engine that holds a busy "a", and another one on which a load of "a" is under way
    When "f" is waited for
    Then "a" is not unloaded

  Scenario: No move needs more memory than there is
    Then 300 random fleets get only moves that fit
