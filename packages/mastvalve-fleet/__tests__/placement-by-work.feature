Feature: Placement of models by their work

  Scenario: A busy model without a holder is loaded in place of a rare one
    Given engines that hold "a b, c d, e f, c e"
    When "g" is busy with 10 requests per second, which each take 0.05 s
    Then "g" is loaded
    And a copy of "c" or "e" is evicted for it

  Scenario: A load that ends after the demand has moved on is not begun
    Given engines that hold "a b, c d, e f, c e"
    When "g" is busy with 10 requests per second, which each take 0.05 s
    And demand for "g" is expected to stay for 3 s
    Then no load is planned

  Scenario: A copy on a disk goes before the store
    Given engines that hold "a b, c d, e f, a f"
    And engine 1 has "g" on its disk
    When "g" is busy with 10 requests per second, which each take 0.05 s
    Then engine 1 loads "g" from the disk

  Scenario: A model with much work gets another engine, in another failure domain
    Given engines that hold "a b, c, e, f"
    When "a" is busy with 20 requests per second, which each take 0.05 s
    Then an engine of another failure domain loads "a"

  Scenario: A model whose engines have time gets no further engine
    Given engines that hold "a b, c, e, f"
    When "a" is busy with 8 requests per second, which each take 0.05 s
    Then no load is planned

  Scenario: A slow engine counts as less
    Given engines that hold "a b, c, e, f"
    And engine 0 works at 0.5 of the usual speed
    When "a" is busy with 8 requests per second, which each take 0.05 s
    Then another engine loads "a"

  Scenario: A model with long prompts and chats gets a second engine, so that they can be kept apart
    Given engines that hold "a b, c, e, f"
    When "a" is busy with 8 requests per second, which each take 0.05 s
    And "a" gets long prompts and chats
    Then another engine loads "a"

  Scenario: Rare models don't take the places of busy ones
    Given engines that hold "a b, c d"
    When "a b c d" are busy with 4 requests per second, which each take 0.01 s
    And 3 requests wait for "e"
    Then no load is planned

  Scenario: Rare models are swapped for each other
    Given engines that hold "a b, c d"
    When "a c" are busy with 4 requests per second, which each take 0.01 s
    And 1 request waits for "e"
    Then a copy of "b" or "d" is evicted for it

  Scenario: A request for a rare model is served although each other rare model is asked for more often
    Given engines that hold "a b, c d"
    When "a b c d" are asked for 0.5 times per second
    And 1 request waits for "e"
    Then "e" is loaded

  Scenario: Rare models load on a part of the engines at a time
    Given engines that hold "a b, c d, e f, a c"
    And engine 3 loads "g"
    When 2 requests wait for "h"
    Then no load is planned

  Scenario: A model that may return keeps its last copy rather than a rare one
    Given engines that hold "a b, c d"
    When "a c" are busy with 4 requests per second, which each take 0.01 s
    And "b" was busy before with 15 requests per second
    And "d" is asked for 0.1 times per second
    And 1 request waits for "e"
    Then a copy of "d" is evicted for it

  Scenario: Utilization is shared by speed
    Given engines that hold "a, a"
    And engine 0 works at 0.5 of the usual speed
    When "a" is busy with 15 requests per second, which each take 0.05 s
    Then both engines work half of their time for "a"

  Scenario: Moves fit, and keep the last copies of models in demand
    Then 400 random fleets get only moves that fit and keep the last copy of each busy or awaited model

  Scenario: No load is undone by the next one
    Then in 400 random fleets no move is followed by its reversal while demand stays

  Scenario: Neither demand nor moves depend on the order of the list
    Then 60 random demands are judged alike with the models in another order

  Scenario: While all models have room, a busy model's spare copy gives way rather than a last one
    Given engines that hold "a b, a c, a d, e f, g a"
    When "a" is busy with 2 requests per second, which each take 0.01 s
    And 1 request waits for "h"
    Then a copy of "a" is evicted for it

  Scenario: A last copy gives way to a model that is waited for if there is no other way
    Given engines that hold "a b, c d, e f, g a"
    When "a" is busy with 8 requests per second, which each take 0.05 s
    And 1 request waits for "h"
    Then "h" is loaded

  Scenario: Requests with time wait for the place of a spare copy, others get that of a last one
    Given engines that hold "b a, c a, d e, f g"
    And engine 0 loads "b"
    And engine 1 loads "c"
    And engines held "a b c d e f g h" before
    When 1 request waits for "h"
    And requests can wait for 20 s
    Then no load is planned
    When requests can wait for 6 s
    Then "h" is loaded

  Scenario: Models that have lost their last copy are loaded before anybody waits, at several engines
    Given engines that hold "a b, c, d, e"
    And engines held "a b c d e f g h" before
    Then "f g h" are loaded by different engines without eviction, two of them at a time

  Scenario: Copies that others can spare give way to models that have lost their last copy
    Given engines that hold "a b, a c, a d, a e, f g"
    And engines held "a b c d e f g h" before
    When "a" is busy with 2 requests per second, which each take 0.01 s
    Then a copy of "a" is evicted for it

  Scenario: The nearest of the lost models is loaded first
    Given engines that hold "a b, c, d, e"
    And engine 2 has "g" on its disk
    And engines held "a b c d e f g h" before
    Then engine 2 loads "g" from the disk

  Scenario: A lost model that is waited for is loaded before others
    Given engines that hold "a b, c, d, e"
    And engine 2 has "g" on its disk
    And engines held "a b c d e f g h" before
    When 1 request waits for "h"
    Then "h" is loaded

  Scenario: Lost models leave the store's last loads to busy ones
    Given engines that hold "a b, c, d, e"
    And engines held "a b c d e f g h" before
    And the store allows 2 loads
    Then no load is planned

  Scenario: Lost models are not loaded ahead where not all models have room
    Given engines that hold "a b, c, d"
    And engines held "a b c d e f g h" before
    Then no load is planned

  Scenario: Only loads for busy models and for requests that wait take last copies while all models have room
    Then in 400 random fleets with room for all models no other load takes a last copy

  Scenario Outline: Models have room if each fits into an engine beside others
    Given <engines> engines of 200 GB
    Then models of "<sizes>" GB <have> room

    Examples:
      | engines | sizes             | have    |
      | 2       | 72 72 72 72 54 54 | have    |
      | 2       | 72 72 72 72 72    | have no |
      | 2       | 72 72 72 72 56    | have    |
      | 2       | 72 72 72 72 57    | have no |
      | 0       | 72                | have no |

  Scenario: Declared models without a copy are counted
    Given engines that hold "a b, a c, d e, f g"
    And engine 2 retires "d"
    And engine 3 has ended
    Then 4 models are counted as absent
