Feature: Entries that follow control over slow links

  # Guards against entries that keep using a configuration several versions old, for 3 s and more after a newer one was acknowledged.
  # The timeout of 800 ms covered a complete answer, whose size grows with the state: from 4,200 routes on, it took longer over a link of
  # 7 Mbit/s. Each failed attempt started again at another control instance, once a second and with 800 KB received in vain.
  Scenario: An entry behind a slow link receives a configuration of thousands of routes
    Given control with a configuration of 1 route
    And an entry that follows control over a link of 300 KB per second
    When a configuration of 6000 routes is committed
    Then the entry uses the new configuration within 2500 ms

  # Guards against the same timeout on the first answer, which has the complete state: after a restart of all processes, most entries
  # were not ready for 25 s and more, and received 800 KB per second in vain.
  Scenario: An entry that starts behind a slow link is synced with thousands of routes soon
    Given control with a configuration of 6000 routes
    When an entry starts following control over a link of 300 KB per second
    Then the entry is synced within 5000 ms

  # Guards against requests to an endpoint more than 3 s after control has acknowledged that it is leaving: a large configuration had
  # been acknowledged 0.4 s before, and the change of the endpoint was in the same answer, which never ended in time.
  Scenario: An endpoint that leaves while thousands of routes are in transfer receives no new requests
    Given control with a configuration of 1 route
    And an entry that follows control over a link of 60 KB per second
    When a configuration of 6000 routes is committed, and an endpoint reports that it is leaving
    Then the entry stops using the endpoint within 1000 ms

  Scenario: An entry whose connections break repeatedly resumes the transfer where it broke off
    Given control with a configuration of 6000 routes
    When an entry starts following control over a link of 60 KB per second whose connections break every 300 ms
    Then the entry is synced within 8000 ms

  Scenario: The size of an update depends on the change, not on the size of the configuration
    Given control with a configuration of 6000 routes
    And an entry that follows control over a link of 300 KB per second
    When a configuration in which 1 of the routes differs is committed
    Then the entry uses the new configuration within 1000 ms
    And at most 10 KB have been received over the link since the change

  Scenario: Forgetting an endpoint that has left causes no new transfer of the state
    Given control with a configuration of 6000 routes
    And an entry that follows control over a link of 300 KB per second
    When an endpoint leaves and is forgotten
    Then at most 10 KB have been received over the link since the change

  # Guards against entries that follow a distant instance permanently. They started with an instance from the settings, or switched to one
  # during a partition, and only a failure made them switch again. With 68 entries, two of five failure domains followed another domain's
  # instance all day, and traffic between failure domains became the largest cost.
  Scenario: An entry that follows a distant instance switches to a nearer one as soon as that answers
    Given an entry that follows a distant instance, and an unavailable nearer one
    When 4 seconds pass
    Then the entry follows the distant instance, and has queried the nearer one once
    When the nearer one is available again and 12 seconds pass
    Then the entry follows the nearer instance

  Scenario: An entry that gets no answer from a nearer instance keeps the one that answers
    Given an entry that follows a distant instance, and an unavailable nearer one
    When 60 seconds pass
    Then the entry is never without an update for longer than 1.2 seconds, and has queried the nearer instance at most 7 times
