Feature: Endpoints that refuse excess requests and request backoff

  # Entries that wait for the whole backoff and then retry all requests at once leave the endpoint idle most of the time.
  Scenario Outline: Few entries (<entries>) at <load> times the throughput of the endpoint use it better than with immediate retries
    Given <entries> entries that share an endpoint with 8 slots, in virtual time
    When <load> times its throughput is offered for 60 s
    Then no request arrives during the backoff of its entry
    And at least <factor> times as many requests are served as with entries that retry all requests at once

    Examples:
      | entries | load | factor |
      | 1       | 0.8  | 2      |
      | 1       | 1.2  | 2      |
      | 1       | 2    | 2      |
      | 5       | 1.2  | 1      |
      | 5       | 2    | 1      |

  # With many entries the others use the capacity that one leaves; slow start may cost at most a twentieth of the throughput.
  Scenario Outline: Many entries (<entries>) at <load> times the throughput of the endpoint use it as well as with immediate retries
    Given <entries> entries that share an endpoint with 8 slots, in virtual time
    When <load> times its throughput is offered for 60 s
    Then no request arrives during the backoff of its entry
    And at least 0.95 times as many requests are served as with entries that retry all requests at once

    Examples:
      | entries | load |
      | 31      | 1.2  |
      | 31      | 2    |
      | 300     | 2    |

  Scenario Outline: After an outage <entries> entries resume with one request each, and soon send all requests
    Given <entries> entries that share an endpoint with 8 slots, in virtual time
    When it refuses everything from 5 s to 14 s, and 0.25 times its throughput is offered for 24 s
    Then no request arrives during the backoff of its entry
    And the most refusals within any 100 ms after 8 s are <entries>
    And at least 0.9 of the requests of the last 5 s are served

    Examples:
      | entries |
      | 1       |
      | 5       |
      | 31      |

  Scenario: The longest requested backoff applies
    Given an endpoint that requested 3000 ms of backoff at 0 ms
    When it requests 500 ms of backoff at 100 ms
    Then no request may be sent at 2900 ms
    And a request may be sent at 3400 ms

  Scenario Outline: Retry-After "<value>" requests <meaning>
    When a response with Date "Thu, 03 Dec 2026 09:00:00 GMT" has Retry-After "<value>"
    Then it requests "<meaning>"

    Examples:
      | value                         | meaning    |
      | 3                             | 3000 ms    |
      | 0.25                          | 250 ms     |
      | 0                             | 0 ms       |
      | 2 \| 5 \| soon                | 5000 ms    |
      | 999999999                     | 999999999000 ms |
      | Thu, 03 Dec 2026 09:00:10 GMT | 10000 ms   |
      | Thu, 03 Dec 2026 08:59:00 GMT | 0 ms       |
      | 99999999999999999999          | unreadable |
      | -3                            | unreadable |
      | 1e9                           | unreadable |
      | soon                          | unreadable |
      |                               | unreadable |
