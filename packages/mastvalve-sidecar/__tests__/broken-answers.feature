Feature: Answers of endpoints that break off on their way through a sidecar

  # Guards against an answer that reached its entry as complete although its connection had been reset: without a length and chunks, the HTTP client took the reset for its end.
  Scenario Outline: An answer that an endpoint frames with <framing> is <result>
    Given an endpoint that answers with "<framing>"
    When a sidecar hands 20 requests to it, one after the other
    Then each body is "<result>"

    Examples:
      | framing                                   | result     |
      | a length                                  | whole      |
      | chunks                                    | whole      |
      | nothing, then closes                      | whole      |
      | nothing, then resets after a pause        | broken off |
      | nothing, then resets at once              | broken off |
      | a length, then closes before it           | broken off |
      | chunks, then closes before the last chunk | broken off |
