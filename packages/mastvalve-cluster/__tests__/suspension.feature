Feature: Instances that stood still without their steady clock counting it

  # A leader that was suspended for longer than its lease woke up with a lease that still seemed to last: by its steady clock no time
  # had gone by. Meanwhile another one led and had committed changes, so what the first one answered was old.
  Scenario: A leader that was suspended doesn't answer as the newest when it wakes
    Given 3 members of a log of which one leads
    When the leader is suspended for 3000 ms, and the others commit a change
    Then the former leader says at no moment after it that it leads with a valid lease
    And 3000 ms later all have the change

  Scenario: A follower that was suspended doesn't count as current before it has heard the leader again
    Given 3 members of a log of which one leads
    When a follower is suspended for 3000 ms, and the others commit a change
    Then the follower doesn't say on waking that it has heard the leader
    And 3000 ms later all have the change

  Scenario: A step of the time of day costs a leader its lease for a moment only, and never extends it
    Given 3 members of a log of which one leads
    When the time of day of the leader steps by 2000 ms
    Then it has its lease again within 30 ms
    When the time of day of the leader steps by -2000 ms
    Then it has its lease again within 30 ms
    And it has led without a break in one term
