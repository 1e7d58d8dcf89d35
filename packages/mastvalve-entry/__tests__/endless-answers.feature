Feature: Answers without end

  # Guards against answers that an entry keeps in memory, or waits for, until their caller's time is over.
  Scenario Outline: An answer with <content> ends at its bound
    Given a sidecar that answers with "<content>"
    When an entry reads its answer as "<kind>"
    Then the answer is an error "<code>" that tells its bound
    And the entry has closed the connection after at most <bytes> bytes

    Examples:
      | content               | kind   | code             | bytes    |
      | a body without end    | whole  | answer-too-large | 10000000 |
      | an event without end  | stream | outcome-unknown  | 10000000 |
      | a refusal without end | whole  | answer-too-large | 10000000 |
      | a head without end    | whole  | outcome-unknown  | 10000000 |
