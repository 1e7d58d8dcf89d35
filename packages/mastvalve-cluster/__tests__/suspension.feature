Feature: Suspensions that the monotonic clock doesn't count

  # Guards against stale reads: a leader that was suspended for longer than its lease resumed with a lease that still seemed
  # valid, because its monotonic clock had not advanced. Meanwhile another leader had committed changes.
  Scenario: A suspended leader claims no valid lease with stale state after it resumes
    Given 3 members of a log with a leader
    When the leader is suspended for 3000 ms while the others commit a change
    Then the former leader never claims a valid lease with stale state after it resumes
    And after 3000 ms all members have the change

  Scenario: A suspended follower isn't current before it receives a message of the leader
    Given 3 members of a log with a leader
    When a follower is suspended for 3000 ms while the others commit a change
    Then the follower reports no contact with the leader when it resumes
    And after 3000 ms all members have the change

  Scenario: A step of the wall clock interrupts the lease of a leader only briefly, and never extends it
    Given 3 members of a log with a leader
    When the wall clock of the leader steps by 2000 ms
    Then it has a valid lease again within 30 ms
    When the wall clock of the leader steps by -2000 ms
    Then it has a valid lease again within 30 ms
    And it is still the leader of the same term
