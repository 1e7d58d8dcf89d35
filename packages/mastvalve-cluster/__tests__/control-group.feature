Feature: A group of control instances

  Scenario: Nobody begins a log beside one that exists
    Then a beginner that hears of a log joins it, whatever else it hears

  Scenario: The seeds of the first start begin together, or not at all
    Then the seeds begin the same log once all of them know each other, and wait before
    And an instance that is no seed, or whose disk is younger than the system, begins nothing

  Scenario: A read at the leader waits for a change that is being written
    Given a control instance that is a group of its own
    Then reads succeed at every moment of 50 changes

  Scenario: Five instances that know three form a group of five voters, and replace what is lost
    Given 5 control instances that know the first 3
    Then all of them become voters of one log
    And a change that is proposed at any of them is applied at all of them
    When the last one comes back with an empty disk
    Then it is a voter again under a new identity, and has all changes
    When the first one is stopped for good and another one starts at another address
    Then the newcomer takes its place and has all changes
