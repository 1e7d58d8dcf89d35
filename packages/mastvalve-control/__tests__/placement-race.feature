Feature: Placements that were made from an older state

  Scenario: A placement that is committed after a proof of loading does not forget the proof
    Given an endpoint that shall hold a model
    When its load is proved while the leader works out a placement with one model more
    Then the committed placement holds both models and still knows the proof

  Scenario: A load that ends between review and confirmation does not change the plan
    Given an endpoint that shall hold a model
    When a plan is made before and after its load is proved
    Then both plans have the same id

  Scenario: Reports that overtake each other do not undo what was proved
    Then of two reports of one life only the later one counts, in whatever order they arrive
