Feature: Slow readers

  Scenario: What an entry holds for answers that are not read is bounded per request
    Given an entry with an endpoint that answers with 64 MB of shared bytes
    When 20 callers do not read their answers for 500 ms
    Then the entry holds at most 256 KB for each of them

  Scenario: A caller that reads slowly delays no other
    Given an entry with an endpoint that answers with 64 MB of shared bytes
    When 20 callers do not read their answers for 500 ms
    Then each of 20 other requests is answered within 100 ms plus loop delay

  # Guards against an entry that ends when many callers stop reading: each answer alone was bounded, their sum was not.
  Scenario: What an entry holds for answers that are not read is bounded in sum
    Given an entry that holds at most 1 MB of unread answers, with an endpoint that answers with 64 MB
    When 40 callers do not read their answers for 500 ms
    Then the entry holds at most 1 MB of unread answers
    And the answers that were unread for longest are aborted, and their requests cancelled at the endpoint

  # Guards against a sum above the bound for a second: bytes that were on their way when an answer became unread counted only then.
  Scenario: Bytes that arrive behind the stop of a reader count against the bound within 300 ms
    Given room for 1000 bytes of unread answers
    When an answer of 900 bytes becomes unread, and 200 more bytes of it arrive
    Then it is cut off within 300 ms

  # Guards against an answer that was cut off without a log line, since its caller had been told as a slow reader before.
  Scenario: An answer that is cut off after its caller was told as a slow reader is logged as cut off
    Given an entry that holds at most 1 MB of unread answers, with an endpoint that answers with 64 MB
    When 16 callers do not read their answers for 1300 ms, and 16 more for 500 ms
    Then the answers that were unread for longest are aborted, and their requests cancelled at the endpoint

  # Guards against an event that never ends: an entry kept all bytes since the last complete event of a resumable stream, so an answer
  # without an empty line was held as a whole, and copied with each of its parts.
  Scenario: An event of a resumable stream that is too long is passed on in parts
    When the position in a resumable stream takes an event of 8 MB in parts of 64 KB
    Then it never holds more than 192 KB
    And all of the event is passed on, and the stream can't be resumed

  # Guards against slow readers that cost engines and their reputation: an endpoint cut off an answer that was not read, the entry took that for a
  # failure of the endpoint, and had the rest of the stream run by the next one, which was not read either.
  Scenario: An answer that is cut off because its caller does not read is neither run again nor counted against the endpoint
    Given an entry with two endpoints that cut off answers which are unread for 1500 ms
    When a caller does not read a resumable stream for 1800 ms, and reads on
    Then the endpoints have received 1 request
    And no failure is recorded for an endpoint
    And the caller gets no complete answer of it

  Scenario: A slow reader is told in one log line and counted
    Given an entry with an endpoint that answers with 64 MB of shared bytes
    When a caller stops reading for 1500 ms, reads on, and stops again for 1500 ms
    Then 1 line tells a slow reader with its request
    And 1 slow reader is counted

  Scenario: A caller that reads its answer without a pause is not told as a slow reader
    Given an entry with an endpoint that answers with 8 MB of shared bytes
    When a caller reads its whole answer
    Then 0 lines tell a slow reader with its request

  # Guards against a request body that was held twice for as long as its request ran, and against bodies without a bound in sum.
  Scenario: A request body that its endpoint does not read is held once
    Given an entry with an endpoint that reads no bodies
    When 10 callers send bodies of 2 MB
    Then the entry holds at most 2.5 MB for each body

  Scenario: Request bodies are bounded in sum
    Given an entry that holds at most 5 MB of bodies, with an endpoint that reads no bodies
    When 10 callers send bodies of 2 MB
    Then 8 of them are refused as not run
    And the endpoint has received 2 requests
    And bodies are taken again when the others have left
