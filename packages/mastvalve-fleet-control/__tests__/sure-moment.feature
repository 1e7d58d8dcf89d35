Feature: Up to which moment a control instance is sure to know all that was committed

  Scenario: The moment is that at which the answered question began
    Given a control instance that asks its leader at 1000 ms
    When the leader answers at 1040 ms
    Then the instance is sure of the moment 1000 ms

  Scenario: A leader is sure of the present
    Given a control instance that leads at 5000 ms
    Then the instance is sure of the moment 5000 ms

  # Whoever looks first at the clocks after a suspension takes notice of it; the question that was on its way is as void as before.
  Scenario: A question that was on its way during a suspension proves nothing, whoever notices that
    Given a control instance that asks its leader at 1000 ms
    When the instance is suspended for 6000 ms, and a follower is answered
    And the leader answers at 1040 ms
    Then the instance is sure of no moment

  Scenario: A question from after a suspension counts
    Given a control instance that asks its leader at 1000 ms
    When the instance is suspended for 6000 ms, and a follower is answered
    And it asks again at 1100 ms and the leader answers at 1120 ms
    Then the instance is sure of the moment 1100 ms
