Feature: Placement for services without measured work

  Placement by work is for services where the leader chooses engines. Everywhere else the moves must stay as they were, or the
  deployments that are tuned for them change without a reason.

  Scenario: Services without measured work get the moves that they got before placement by work existed
    Given 40 random fleets whose demand is reported in 60 rounds each
    Then their moves are those of "moves-without-work.txt"
