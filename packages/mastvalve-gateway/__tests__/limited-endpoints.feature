Feature: Endpoints that take fewer requests

  # An endpoint named in its answers how many requests a second it takes from all entries together, and went on
  # getting what it got before. Every entry read the word with its first answers, and went on choosing endpoints by their
  # expected wait alone: the endpoint got 83 of 160 requests, 46 of them in one span of 4 s. Entries that each kept to the limit by
  # themselves would have sent 34 there in that time, so nobody kept to it at all. The cause: a bound that is stated once for all
  # entries together had no place where what they send is counted together.
  #   endpoint.limit-told {"request":"request-2","endpoint":"endpoint-0","word":"named","perSecond":1.7}
  #   endpoint.limit-told {"request":"request-3","endpoint":"endpoint-0","word":"named","perSecond":1.7}
  Scenario: All entries together keep to the limit that an endpoint has named
    Given 5 entries that follow control
    And 2 endpoints that count what they get
    When endpoint 0 names a limit of "1.7" a second
    And 160 requests come within 8000 ms, at one entry after the other
    Then endpoint 0 got at most 15 requests in any 4000 ms from 500 ms after it had named its limit
    And all requests were answered
