Feature: Long prompts beside chats on engines of two speeds, replayed in virtual time

  Scenario Outline: At <load> times today's rates with <entries> entries no chat is interrupted, and long prompts begin in time
    Given <entries> entries before 29 engines, in virtual time
    When long prompts and chats arrive at <load> times today's rates for 30 s
    Then of the chats that began in time at most <interrupted> were interrupted
    And of the long prompts at least <in time> were in time
    And the engines differ in the first byte of chats by at most a factor of 2
    And the engines differ in the first byte of long prompts by at most a factor of 2
    And less than <again> of what was read in the second half are parts that an engine had already read

    Examples:
      | entries | load | interrupted | in time | again |
      | 1       | 1    | 0           | 0.99    | 0.1   |
      | 5       | 1    | 0           | 0.99    | 0.1   |
      | 26      | 1    | 0           | 0.99    | 0.1   |
      | 1       | 1.4  | 0           | 0.97    | 0.15  |
      | 5       | 1.4  | 0           | 0.97    | 0.15  |
      | 26      | 1.4  | 0           | 0.97    | 0.15  |

  # Engines of speed 1.2 read 2.18 times as fast as those of 0.55.
  Scenario Outline: Near the capacity with <entries> entries slow engines get work in proportion to their speed
    Given <entries> entries before 29 engines, in virtual time
    When long prompts and chats arrive at 1.75 times today's rates for 30 s
    Then engines of speed 1.2 have read between 1.9 and 2.5 times as much as those of 0.55
    And of the chats that began in time at most 0.02 were interrupted

    Examples:
      | entries |
      | 1       |
      | 5       |
      | 26      |
