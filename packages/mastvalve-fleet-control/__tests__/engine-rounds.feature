Feature: Rounds of planning at the leader

  A round describes all engines once and goes on from there, and rounds that reports ask for take a part of the leader's time,
  however large the fleet is: acknowledgements and heartbeats go through the same process.

  Scenario: Whatever a round has begun, it goes on with engines as they are then
    Then 200 random rounds see the engines as if they had described all of them anew

  Scenario: However many entries report, rounds that take long leave the leader most of its time
    Given a leader whose rounds take 20 ms each
    When 68 entries report in each of 5 seconds
    Then rounds took less than 15 percent of the time

  Scenario: Regular rounds that take long leave the leader most of its time, too
    Given a leader whose rounds take 40 ms each
    When 68 entries report in each of 5 seconds, and 10 regular rounds are due
    Then rounds took less than 15 percent of the time

  Scenario: A round during which the process stood still does not keep the next one waiting for long
    Given a leader whose rounds take 20 ms each
    When a round takes 5000 ms, and 1 second goes by with 10 regular rounds
    Then there was another round
