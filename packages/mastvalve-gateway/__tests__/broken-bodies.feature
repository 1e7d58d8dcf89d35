Feature: Bodies that break off

  # Guards against an end of input that is taken for the end of a body, where callers, operators and other instances send bodies.
  Scenario Outline: A body of <receiver> that ends before its <framing> is handed to nobody
    Given a server for the bodies of "<receiver>"
    When bodies are cut before the end of their "<framing>", and their connections closed and reset
    Then nobody has received any of them
    And a whole body is received

    Examples:
      | receiver        | framing |
      | callers         | length  |
      | callers         | chunks  |
      | other instances | length  |
      | other instances | chunks  |

  Scenario: An answer of another instance that breaks off is no answer, whatever frames it
    Given an instance that answers calls with 300 bytes of JSON, plain and compressed
    When its answers are cut at every byte, with a length, in chunks and with neither, and their connections closed and reset
    Then each call fails
