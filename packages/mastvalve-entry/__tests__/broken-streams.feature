Feature: Streams that can't be finished

  # Guards against error events that are dropped with the connection: it was cut before they were sent.
  Scenario Outline: A stream that breaks off after <events> events tells its error before its connection is cut
    Given an entry that streams an answer that breaks off after <events> events
    When 10 callers read it
    Then each of them gets <events> events, an error event and a cut connection

    Examples:
      | events |
      | 0      |
      | 1      |
      | 5      |
