Feature: The whole path as separate processes
  Entries, control instances, and a sidecar beside each stand-in run as processes of their own.

  Scenario Outline: Chats stream to their end in <example>
    Given the deployment of "<example>" runs
    When the operator states and confirms its intent
    Then the official client streams a chat with "<model>" to its end through every entry
    And the official client streams a chat with "<adapter>" to its end through every entry
    And the official client gets a whole completion from "<model>" through every entry
    And the time line shows the last request in an entry before a sidecar

    Examples:
      | example    | model            | adapter             |
      | katalogix  | opis-hasla       | opis-mapy-a1        |
      | alairopont | lector-szerzodes | lector-alairas-a2   |
