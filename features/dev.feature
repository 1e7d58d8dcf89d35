Feature: The whole in one process

  Scenario: It says that it is ready when a chat is answered
    Given "mastvalve dev" is ready on a free port
    Then a chat is answered at once

  Scenario: Ctrl-C arrives twice at once, as through npm, and ends it cleanly
    Given "mastvalve dev" is ready on a free port
    When it gets two SIGINT at once
    Then it ends with code 0
