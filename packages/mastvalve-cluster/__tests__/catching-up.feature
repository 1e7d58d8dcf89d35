Feature: Catching up after a link failure

  # Guards against exhaustion of the heap of a control instance, seen on a day with 150 processes on which the core was cut.
  # Cause, from the code and this scenario: a link fails for seconds while the leader appends, and the pending messages are
  # delivered together when it recovers. Each is rejected because entries before it are lost, and each rejection made the
  # leader resend all missing entries, which the next call carried in one body.
  Scenario: Entries missing after a link failure are resent once, in bodies of bounded size
    Given 3 replicas, and a link from the leader to one that fails for 6 seconds while 100 changes of 2 KB are committed per second
    When the link recovers
    Then the replica has all changes, and at most 3 times their bytes were sent to it
    And no body exceeded 1000 KB

  # Guards against bodies that no peer reads: a snapshot counted as nothing, and one is sent per election timeout while the link is slow.
  Scenario: Each call carries one snapshot at most
    Given 5 snapshots of the log that wait for a slow link, with heartbeats between them
    When the link takes calls
    Then no call carries two snapshots, and all messages are sent in order
