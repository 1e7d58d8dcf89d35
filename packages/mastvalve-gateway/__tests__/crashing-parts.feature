Feature: Parts of prompts that crash endpoints

  # Guards against a part of prompts under which one engine crashes after the other: the requests with it differ in all else.
  Scenario Outline: Requests with a part under which five engines have crashed are sent to at most three more, and no others are refused
    Given <entries> entries that follow control
    And 12 engines that crash when they begin to answer a crashing part, and restart after 1500 ms
    When requests arrive for 6000 ms: <crashing> a second with the crashing part as the <position> one, which is sound for <sound before> ms, and 30 sound ones
    And meanwhile <trouble>
    Then at most 3 requests with the crashing part have reached engines later than 3000 ms after the fifth crash
    And no sound request has been refused as quarantined

    Examples:
      | entries | crashing | position | sound before | trouble                                     |
      | 3       | 6        | second   | 0            | nothing else happens                        |
      | 3       | 6        | first    | 0            | nothing else happens                        |
      | 3       | 12       | second   | 1500         | nothing else happens                        |
      | 3       | 6        | second   | 0            | control ends after the third crash          |
      | 5       | 3        | second   | 0            | an entry is replaced every 700 ms           |
      | 5       | 3        | second   | 0            | engines crash every 500 ms for another reason |

  Scenario: No part is quarantined when engines crash for another reason
    Given 3 entries that follow control
    And 12 engines that crash when they begin to answer a crashing part, and restart after 1500 ms
    When requests arrive for 5000 ms: 0 a second with the crashing part as the second one, which is sound for 0 ms, and 30 sound ones
    And meanwhile engines crash every 300 ms for another reason
    Then no sound request has been refused as quarantined
