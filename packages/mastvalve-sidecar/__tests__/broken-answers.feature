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

  # Guards against whole answers that break off: an error behind their end was taken for an error within them.
  Scenario Outline: An answer that an endpoint frames with <framing> is whole although <surplus> follow it
    Given an endpoint that answers with "<framing>" and sends "<surplus>" behind it
    When a sidecar hands 20 requests to it, one after the other
    Then each body is "whole"

    Examples:
      | framing  | surplus                           |
      | a length | bytes that are no answer          |
      | chunks   | bytes that are no answer          |
      | a length | bytes that are no answer, at once |
      | chunks   | bytes that are no answer, at once |
      | a length | bytes without end                 |
      | chunks   | bytes without end                 |

  # Guards against fields that Node's client drops silently beyond a thousand: without its length, the end of an answer isn't known.
  Scenario: An answer whose length stands behind 2500 fields is whole
    Given an endpoint that answers with "a length behind 2500 fields" and sends "bytes that are no answer" behind it
    When a sidecar hands 20 requests to it, one after the other
    Then each body is "whole"

  Scenario Outline: Bytes that follow a whole answer at once are told
    Given an endpoint that answers with "<framing>" and sends "bytes that are no answer, at once" behind it
    When a sidecar hands 20 requests to it, one after the other
    Then 20 times a surplus is told

    Examples:
      | framing  |
      | a length |
      | chunks   |

  Scenario: A whole answer that nothing follows tells of no surplus
    Given an endpoint that answers with "a length"
    When a sidecar hands 20 requests to it, one after the other
    Then 0 times a surplus is told

  # Guards against heads that are read until the time of the request is over.
  Scenario Outline: <heads> are given up at their bound
    Given an endpoint that sends "<heads>" without end
    When a sidecar hands a request to it
    Then it gives the request up within 1000 ms, with an error that says "<bound>"

    Examples:
      | heads               | bound                               |
      | informational heads | more than 32 informational heads    |
      | fields of a head    | Header overflow                     |

  # Guards against a refusal or a body that reaches the caller of the next request: an endpoint had answered twice on a kept connection.
  Scenario: The surplus answer of an engine is not taken for the answer to the next request
    Given an endpoint that sends each answer once more in the place of the next one on its connection
    When a sidecar hands 4 numbered requests to that engine, one after the other
    Then the requests get "engine-refused 2 3 4"
