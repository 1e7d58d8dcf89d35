Feature: Requests that crash endpoints

  # Guards against a request that crashes one engine after the other. Callers repeated it with other request ids and through other entries.
  # An entry knew the engines at which one request had been attempted, but nothing of earlier requests with the same content or of those
  # at other entries, so each repetition went to the next healthy engine: nine engines crashed within 7.4 s, and each crash broke off 1 to 7
  # requests. The requests at the crashed engines had the same fingerprint.
  Scenario: A request that has crashed three endpoints is sent to only a few more
    Given 3 entries that follow control
    And 8 engines that crash when they run a crashing request, and restart after 1500 ms
    When the same crashing request arrives 20 times, 150 ms apart, round-robin over the entries, together with other requests
    Then at most 6 engines have crashed
    And the last 5 crashing requests are each refused as not run within 100 ms
    And the last 5 of the other requests succeed

  Scenario: An entry that starts later receives the quarantined requests
    Given 2 entries that follow control
    And 6 engines that crash when they run a crashing request, and restart after 1000 ms
    When the same crashing request arrives 6 times, 200 ms apart, round-robin over the entries, together with other requests
    And the entries are restarted
    And a crashing request arrives once more at each entry
    Then the last 2 crashing requests are each refused as quarantined within 100 ms plus loop delay
    And no engine has received a crashing request since the restart
    And at most 6 engines have crashed

  Scenario: A frequent short request is not quarantined when endpoints crash while it runs
    Given 2 entries that follow control
    And 5 engines that crash when they run a crashing request, and restart after 300 ms
    When the same harmless request arrives every 20 ms, round-robin over the entries, while engines crash 6 times for another reason
    Then the last 20 harmless requests succeed
    And control has quarantined 0 requests

  Scenario: Connection resets do not count as crashes
    Given 2 entries that follow control
    And 4 engines that crash when they run a crashing request, and restart after 300 ms
    When the same request arrives 8 times, and the connections of all engines are reset while it runs
    Then control has quarantined 0 requests

  Scenario: An endpoint that ends after it has reported leaving does not count as crashed
    Given 1 entry that follows control
    And 6 engines that crash when they run a crashing request, and restart after 300 ms
    When the same request arrives 5 times, and each time the engines report that they are leaving and end
    Then control has quarantined 0 requests

  Scenario: Control counts the engines that a request crashes when no entry detects more than one of them
    Given 4 entries that follow control
    And 8 engines that crash when they run a crashing request, and restart after 1000 ms
    When the same crashing request, which must not be repeated, arrives once at each entry, 300 ms apart
    Then at most 3 engines have crashed
    And control has quarantined 1 request
