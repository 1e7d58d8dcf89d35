Feature: Finding the leader

  Scenario: Calls that run at once do not lead each other away from the leader
    Given 3 control instances of which the last one leads
    When 50 calls start at once at the first instance, with answers in any order
    Then every call reaches the leader with its second attempt

  Scenario: With the leader unknown, all instances are asked in turn
    Given 3 control instances that know no leader
    Then 3 attempts ask 3 different instances
