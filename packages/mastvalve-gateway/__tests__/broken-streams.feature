Feature: Streams that break off

  # Guards against a stream that reached its caller as complete although its endpoint had died inside an event: without a length and chunks,
  # the end of the connection was taken for the end of the answer.
  Scenario: A stream that ends inside an event is never relayed as complete
    Given an endpoint that sends streams that end inside an event
    When a caller requests each stream with each framing on the route "draft"
    Then no caller gets a complete answer
    And each answer is logged as broken, and none as whole

  Scenario: A stream that ends inside an event is resumed at another endpoint
    Given an endpoint that sends streams that end inside an event
    And another endpoint that sends the following events
    When a caller requests each stream that may be resumed with each framing on the route "stream"
    Then each caller gets the events once and whole

  Scenario: A whole stream is relayed as complete, however it is framed and split
    Given an endpoint that sends whole streams
    When a caller requests each stream with each framing but a reset on the routes "draft" and "stream"
    Then each caller gets its whole stream as complete

  # Guards against a caller of HTTP/1.0, which gets neither a length nor chunks, and took the regular end of an aborted connection for the end of its answer.
  Scenario: A caller of HTTP/1.0 sees a broken stream as a reset, and a whole one as a regular end
    Given an endpoint that sends streams that end inside an event
    When a caller of HTTP/1.0 requests each stream with each framing on the route "draft"
    Then each of its connections is reset
    When an endpoint that sends whole streams takes its place
    And a caller of HTTP/1.0 requests each stream with each framing but a reset on the route "draft"
    Then each of its connections ends regularly after the whole stream

  Scenario: Answers that are no readable event streams are complete as before
    Given an endpoint that sends bodies that are no readable event streams
    When a caller requests each of them on the routes "draft" and "stream"
    Then each caller gets its answer as complete

  # Guards against a stream that reached its caller as complete although its endpoint had died between two of its events: neither its framing nor its last event shows that.
  Scenario Outline: A stream that nothing frames and that ends between two events is <result> when its endpoint <endpoint>
    Given an endpoint that sends 2 events with nothing framing them, closes the connection and "<endpoint>"
    When a caller requests its stream on the route "draft"
    Then the caller's stream is "<result>"

    Examples:
      | endpoint                                      | result     |
      | listens on                                    | complete   |
      | listens on, as it said it would not           | complete   |
      | listens no more                               | broken off |
      | listens no more, as it said it would          | broken off |
      | listens no more, and control lists it no more | broken off |

  # Guards against the same with other bodies; endpoints that are expected to stay aren't asked about these.
  Scenario Outline: A body that nothing frames is <result> when its endpoint <endpoint>
    Given an endpoint that sends 2 lines with nothing framing them, closes the connection and "<endpoint>"
    When a caller requests its stream on the route "unsafe"
    Then the caller's stream is "<result>"

    Examples:
      | endpoint                                      | result     |
      | listens on                                    | complete   |
      | listens on, as it said it would not           | complete   |
      | listens no more, as it said it would          | broken off |
      | listens no more, and control lists it no more | broken off |

  Scenario: A stream without a single event that nothing frames is broken off
    Given an endpoint that sends 0 events with nothing framing them, closes the connection and "listens on"
    When a caller requests its stream on the route "draft"
    Then the caller's stream is "broken off"
