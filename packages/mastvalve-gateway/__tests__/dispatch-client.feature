Feature: Claims of engines under failure

  Scenario: The leader answers
    Given a leader that assigns each claim to e0
    When 3 claims are made
    Then all claims are assigned to e0

  Scenario: A leader is silent
    Given a leader that is silent
    When 3 claims are made
    Then all are left to the entry within 150 to 300 ms
    And a later claim is left to the entry at once
    And the leader is asked again about each 250 ms
    When a run begins and the leader answers again
    Then the leader is told of the run

  # Guards against needless disconnection: leaders close kept connections now and then, and a call on one fails at once.
  Scenario: A call on a connection that the leader had closed is repeated once
    Given a leader that closes the connection of each odd call
    When 3 claims are made
    Then all claims are assigned to e0

  # Guards against claims that wait for ever: a new leader was told the runs, but not the claims that the old one had queued.
  Scenario: A queued claim is repeated to a new leader
    Given a leader that queues all claims
    When 1 claims are made
    And another leader is elected, which asks for the runs and assigns each claim to e1
    Then all claims are assigned to e1

  # Guards against runs that the leader counts until their deadline: an event that was due while a call was in flight was kept until the next claim.
  Scenario: A run ends while a long call is in flight
    Given a leader that assigns each claim to e0
    When a run ends while a call of 60 ms is in flight
    Then the leader has heard of the end within 150 ms

  # Guards against runs that the leader never counts: a run that began during the probe that regained the leader was marked as told.
  Scenario: A run begins while the leader is regained
    Given a leader that is silent
    When 1 claims are made
    And a run begins and another ends during the probe that regains the leader
    Then the leader is told of the first run
    And the leader has heard of the end within 150 ms

  Scenario: A caller leaves while its claim is queued
    Given a leader that queues all claims
    When 1 claims are made
    And the caller leaves
    Then all are left to the entry within 0 to 100 ms
    And the claim is released

  # Guards against processes that never end: the calls that keep the leader informed of runs in progress went on after the entry had stopped.
  Scenario: The entry stops while a run is in progress
    Given a leader that assigns each claim to e0
    When a run is in progress and the entry stops
    Then the leader is called no more
