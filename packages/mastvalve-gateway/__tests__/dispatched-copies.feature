Feature: Requests whose engines copy kept prompts, as the leader decides

  Scenario: The entry tells the engine the address of the source
    Given an entry with three endpoints, whose leader assigns e1 with a copy from e2
    When a "safe" request is dispatched
    Then endpoint 1 was told to copy from e2
    And the log line of the dispatch names e2 and 4300 tokens
    And 1 copies of 4300 tokens are counted as "sent"

  Scenario: Without a copy nothing is told or counted
    Given an entry with three endpoints, whose leader assigns e1 without a copy
    When a "safe" request is dispatched
    Then endpoint 1 was told of no source
    And 0 copies of 0 tokens are counted as "sent"

  # The source has restarted, and its new incarnation is known under another id; or this entry has not heard of it yet.
  Scenario: The entry doesn't know the source
    Given an entry with three endpoints, whose leader assigns e1 with a copy from e9
    When a "safe" request is dispatched
    Then endpoint 1 was told of no source
    And 1 copies of 0 tokens are counted as "unknown-source"

  Scenario Outline: The entry knows that the source is <phase>
    Given an entry with three endpoints, whose leader assigns e1 with a copy from e2
    And e2 is known to be <phase>
    When a "safe" request is dispatched
    Then endpoint 1 was told of no source

    Examples:
      | phase   |
      | silent  |
      | leaving |
      | gone    |

  Scenario: A retry copies as its own claim says
    Given an entry with three endpoints, whose leader assigns e0, which breaks off, and then e1 with a copy from e2
    When a "safe" request is dispatched
    Then endpoint 0 was told of no source
    And endpoint 1 was told to copy from e2

  Scenario: A resumed stream copies as its own claim says
    Given an entry with three endpoints, whose leader assigns e0, which breaks off, and then e1 with a copy from e2
    When a "stream" request is dispatched
    Then endpoint 1 was told to copy from e2, after event 1
