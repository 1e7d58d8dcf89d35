Feature: Bad input gets a clear error and loses nothing

  Scenario: Callers' mistakes are answered as problem details, and the entry goes on
    Given the small deployment runs with its intent confirmed
    Then callers get these answers:
      | mistake                    | status | code           | outcome |
      | malformed JSON             | 400    | bad-request    | not-run |
      | no model                   | 400    | bad-request    | not-run |
      | an unknown model           | 404    | unknown-name   | not-run |
      | an unknown service         | 404    | unknown-name   | not-run |
      | a body over the limit      | 413    | body-too-large | not-run |
      | an expired deadline        | 504    | deadline-passed | not-run |
      | a deadline that is no number | 400  | bad-request    | not-run |
      | an unknown priority        | 400    | bad-request    | not-run |
      | a bad request id           | 400    | bad-request    | not-run |
      | a loan without a key       | 400    | key-missing    | not-run |
      | a key without issue time   | 400    | bad-request    | not-run |
      | a key that is too old      | 422    | key-too-old    | not-run |
      | a key from the future      | 422    | key-from-future | not-run |
    And a content length that lies ends only its own connection
    And a caller that hangs up frees the endpoint
    And a caller that reads slowly gets its whole answer
    And every process still runs

  Scenario: All findings of a settings file come at once, each with its place
    When the settings file "features/__fixtures__/ten-faults.toml" is checked
    Then the output matches the snapshot "ten-faults.txt"
    And the exit code is 3

  Scenario: A control instance refuses what isn't its own
    Given the small deployment is prepared
    Then control refuses a data folder of another instance
    And control refuses a data folder of a newer format
    And control refuses a journal that is damaged in the middle
    And control cuts a torn last record and starts
    And control refuses a port in use
