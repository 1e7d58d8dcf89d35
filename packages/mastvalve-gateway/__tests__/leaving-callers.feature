Feature: Callers that leave

  Scenario: A caller that leaves while its request runs is cancelled at the engine at once
    Given an entry with an endpoint that holds its answers back
    When a caller leaves while its request runs
    Then the endpoint sees the close within 100 ms

  Scenario: A caller that leaves while it does not read its answer is cancelled at the engine at once
    Given an entry with an endpoint that answers with 64 MB
    When a caller leaves while it does not read its answer
    Then the endpoint sees the close within 100 ms

  Scenario: A caller that leaves while the cost of its request is claimed gets no engine, and its workspace gets the cost back
    Given an entry with an endpoint that holds its answers back
    And the workspace of the caller has a limit, and the leader answers claims after 200 ms
    When a caller leaves 100 ms after it has sent its request
    Then no request is sent within 600 ms
    And the cost is refunded with the next claim

  # Guards against requests of callers that have left, and which went on waiting for a permit until their deadline: the caller left while a claim
  # was on its way to the leader, and the wait that followed listened for a departure that was already over. The reservation stayed taken
  # and each later claim could take a permit from a request whose caller was still there.
  Scenario: A caller that leaves while a permit is claimed claims no more, and its reservation is released
    Given an entry with a limited endpoint, whose leader answers claims after 200 ms with a wait of 300 ms
    When a caller leaves 100 ms after it has sent its request
    Then no request is sent within 800 ms
    And the leader has received 1 permit claim
    And the reservation is released within 500 ms of the departure

  Scenario: A caller that leaves while it waits for its permit claims no more, and its reservation is released at once
    Given an entry with a limited endpoint, whose leader answers claims after 0 ms with a wait of 400 ms
    When a caller leaves 150 ms after it has sent its request
    Then no request is sent within 800 ms
    And the leader has received 1 permit claim
    And the reservation is released within 100 ms of the departure

  Scenario: A caller that leaves while a permit is granted gets no engine, and the permit is returned
    Given an entry with a limited endpoint, whose leader answers claims after 200 ms with a wait of 0 ms
    When a caller leaves 100 ms after it has sent its request
    Then no request is sent within 600 ms
    And the permit is returned with the next claim

  Scenario: A caller that leaves while it waits for the end of a backoff gets no engine
    Given an entry with an endpoint that has asked for a backoff of 1 s
    When a caller leaves 100 ms after it has sent its request
    Then no request is sent within 1500 ms

  Scenario: A caller that leaves while its request waits for the newest configuration gets no engine
    Given an entry without a configuration
    When a caller leaves 100 ms after it has sent its request
    Then no request is sent within 300 ms of the configuration
