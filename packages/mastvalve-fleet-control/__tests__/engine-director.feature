Feature: Directing engines

  Scenario: Moves of a holder that lost its right to order do not go on when it has it again in the same term
    Given a fleet of one engine with 3 places that holds 2 models, and a holder of the orders
    When a load is ordered and gets no answer
    And the holder may not order for a moment, then claims the orders again in the same term
    And another model is wanted as well
    Then the engine got no order that needed more places than there are
    And nothing was ordered between the second claim and the next plan
    And only one load was taken at a time

  # Symptom, by reading: the record of an engine could say that no order is under way while one was. Sequence: a holder lost its
  # right to order and claimed it again while a move of before was waiting for its end; that move then recorded its end over
  # what the next one had recorded. Cause: only orders of a former claim were stopped, not its records.
  Scenario: A move of a holder that lost its right to order records nothing any more
    Given a fleet of one engine with 3 places that holds 2 models, and a holder of the orders
    When a load is ordered and is under way
    And the holder may not order for a moment, then claims the orders again in the same term
    And the load ends
    Then only what the holder has found after its second claim is recorded

  Scenario: The weight store's rate holds before the first request, beside late orders and over changes of the holder
    Given starts of 12 empty engines, with orders that are lost or late and holders that follow each other
    Then in 40 random ones no window of 5 s has more loads from the store than its rate allows
