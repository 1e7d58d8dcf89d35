# Answers the load of long prompts whose hot shared parts are asked for at more engines than have read them: near the capacity the engines
# that keep a part are busy, and others read it again.
Feature: Hot shared parts of long prompts with copies between engines, replayed in virtual time

  Scenario Outline: At <load> times today's rates copies save most of what was read again, seed <seed>
    Given 5 entries before 29 engines, replayed with copies and without from seed <seed>
    When long prompts and chats arrive at <load> times today's rates for 20 s in both
    Then with copies at most <again> of the shared tokens are read again that are without
    And with copies at least <more> more of the long prompts are in time, and at most 0.002 fewer of the chats

    Examples:
      | load | seed | again | more |
      | 1.4  | 1    | 0.25  | 0    |
      | 1.4  | 2    | 0.25  | 0    |
      | 1.4  | 3    | 0.25  | 0    |
      | 1.75 | 1    | 0.25  | 0.03 |
      | 1.75 | 2    | 0.25  | 0.03 |
      | 1.75 | 3    | 0.25  | 0.03 |

  Scenario Outline: Copies that bring nothing cost their callers little, seed <seed>
    Given 5 entries before 29 engines, replayed with copies and without from seed <seed>
    And copies bring nothing
    When long prompts and chats arrive at 1.75 times today's rates for 20 s in both
    Then with copies at most 0.015 fewer of the long prompts and chats are in time

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
