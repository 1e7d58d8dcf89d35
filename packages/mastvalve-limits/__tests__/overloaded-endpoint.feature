Feature: Endpoints that refuse what is too much for them, and ask for backoff

  # Entries that stay away for the whole backoff and then return with all their requests leave the endpoint idle most of the time.
  Scenario Outline: Few entries (<entries>) with <load> times what the endpoint takes use it better than by returning at once
    Given <entries> entries that share an endpoint with 8 slots, in virtual time
    When <load> times as much comes as it takes, for 60 s
    Then no request came in the time that its entry was asked to back off
    And at least <factor> times as many were served as by entries that return with all their requests

    Examples:
      | entries | load | factor |
      | 1       | 0.8  | 2      |
      | 1       | 1.2  | 2      |
      | 1       | 2    | 2      |
      | 5       | 1.2  | 1      |
      | 5       | 2    | 1      |

  # With many entries the others use what one leaves; the slow return may cost them no more than a twentieth.
  Scenario Outline: Many entries (<entries>) with <load> times what the endpoint takes use it as well as by returning at once
    Given <entries> entries that share an endpoint with 8 slots, in virtual time
    When <load> times as much comes as it takes, for 60 s
    Then no request came in the time that its entry was asked to back off
    And at least 0.95 times as many were served as by entries that return with all their requests

    Examples:
      | entries | load |
      | 31      | 1.2  |
      | 31      | 2    |
      | 300     | 2    |

  Scenario Outline: After an outage <entries> entries return to an endpoint one request at a time, and soon with all
    Given <entries> entries that share an endpoint with 8 slots, in virtual time
    When it refuses everything from 5 s to 14 s, and 0.25 times as much comes as it takes, for 24 s
    Then no request came in the time that its entry was asked to back off
    And the most refusals within 100 ms after 8 s are <entries>
    And at least 0.9 of what came in the last 5 s was served

    Examples:
      | entries |
      | 1       |
      | 5       |
      | 31      |

  Scenario: A backoff is as long as the longest that was asked for
    Given an endpoint that asked for 3000 ms of backoff at 0 ms
    When it asks for 500 ms of backoff at 100 ms
    Then nothing may be sent at 2900 ms
    And a request may be sent at 3400 ms

  Scenario Outline: Retry-After "<value>" asks for <meaning>
    When an answer of "Thu, 03 Dec 2026 09:00:00 GMT" has Retry-After "<value>"
    Then it asks for "<meaning>"

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
