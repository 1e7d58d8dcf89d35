Feature: The decision on what crashes endpoints, in virtual time

  # A part of prompts may crash engines at any rate, early or late, beside crashes for other reasons, with one entry or many.
  Scenario: A part that crashes engines is stopped within the bound, and sound requests are served, at all rates and sizes
    Given 120 drawn runs in which requests with one part crash engines
    Then in each run at most 3 requests with the part have reached engines later than 3 s after the fifth crash
    And in each run fewer than half of the sound requests are refused from 6 s after the fifth crash on

  Scenario: Crashes for other reasons alone quarantine nothing that is served
    Given 60 drawn runs in which engines crash for other reasons only
    Then in each run fewer than half of the sound requests are refused from 6 s after the fifth crash on

  Scenario Outline: Both bounds catch a decision with one piece missing
    Given 40 drawn runs in which requests with one part crash engines, although <twin>
    Then some run breaks <bound>

    Examples:
      | twin                                             | bound           |
      | entries report whole requests only               | the first bound  |
      | everything that is in flight counts as the cause | the second bound |
