Feature: What must always hold is proved, and each proof finds its broken twin

  Scenario: Every property has proofs that find their twins and no violation of their own
    When all proofs are run with seed 1 and 120 cases each
    Then no property is without a row, no twin goes unfound and nothing is violated
