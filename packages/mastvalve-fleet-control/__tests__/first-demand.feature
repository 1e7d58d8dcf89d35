Feature: What engines hold when the first request comes

  Full engines had lost two of three models that were nowhere else to further copies of the models declared first: those were
  supposed to be asked for, and what nobody had asked for yet was worth nothing. With as many places as models, every
  request for a lost model then waited for a load.

  Scenario: Full engines that hold each model once keep all of them until somebody asks
    Given 12 full engines with 3 places, which hold 36 models once
    When 16 seconds go by before the first request
    Then 36 different models are held
    And no load was ordered

  Scenario: Of models that are held more than once, copies give way to models declared first
    Given 12 full engines with 3 places, which hold 30 models once and "m29" 6 times more
    When 16 seconds go by before the first request
    Then 30 different models are held
    And "m0" is held more than once

  Scenario: Demand that callers have shown takes the places of models that nobody asks for
    Given 12 full engines with 3 places, which hold 36 models once
    When "m20" is asked for 30 times a second for 6 seconds
    Then "m20" is held more than once

  # Guards against the order of the list taking places before the first request once work is measured.
  Scenario: A service whose work is measured expects nothing of the order of its models
    Given 12 full engines with 3 places, which hold 30 models once and "m29" 6 times more
    And "m29" has a measured work of 0.0 engines
    When 16 seconds go by before the first request
    Then no load was ordered

  Scenario: A service whose work is measured gets engines by its work and not by its requests
    Given 12 full engines with 3 places, which hold 36 models once
    And "m20" has a measured work of 2.5 engines
    When "m20" is asked for 10 times a second for 12 seconds
    Then "m20" is held at least 4 times

  Scenario: Little measured work needs no further engine, however many requests it takes
    Given 12 full engines with 3 places, which hold 36 models once
    And "m20" has a measured work of 0.3 engines
    When "m20" is asked for 30 times a second for 12 seconds
    Then "m20" is held 1 times
