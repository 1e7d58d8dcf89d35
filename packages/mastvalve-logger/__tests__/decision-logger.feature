Feature: Rate limit of the decision log

  # Guards against a refusal that no log line names: beyond 100 lines a second its line was dropped like any other.
  Scenario: Requests that ended without an endpoint's answer are named beyond the rate limit
    Given a decision log that lists the kind "request.given-up"
    When 100 lines of the kind "request.answered" and 250 of the kind "request.given-up" are logged within a second
    Then all 250 requests of the kind "request.given-up" are named, in at most 104 lines

  Scenario: Other lines beyond the rate limit are counted
    Given a decision log that lists the kind "request.given-up"
    When 130 lines of the kind "request.answered" and 0 of the kind "request.given-up" are logged within a second
    Then the first line after that second says that 30 lines were left out
