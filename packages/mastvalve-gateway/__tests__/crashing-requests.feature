Feature: Requests under which endpoints end

  # A request came again and again, each time under another identity and through another entry, and every engine that began
  # to run it ended. An entry knew which engines one request had been tried at, but nothing of a request with the
  # same content that had come before or through another entry, so each repetition went to the next engine that looked
  # sound: ten engines ended within 8 s, and with each of them the 3 to 17 other requests that it ran.
  # What settled it: the same fingerprint at each engine that ended, while the identities differed.
  #   answer.broken  request r1   fingerprint 4fa25b...  endpoint engine-2-3
  #   answer.broken  request r12  fingerprint 4fa25b...  endpoint engine-5-6
  #   answer.broken  request r23  fingerprint 4fa25b...  endpoint engine-0-1
  Scenario: A request under which three endpoints have ended is not sent to many more
    Given 3 entries that follow control
    And 8 engines that end when they begin a deadly request, and are back 1500 ms later
    When the same deadly request comes 20 times, 150 ms apart, at one entry after the other, beside other requests
    Then at most 6 engines have ended
    And the last 5 deadly requests were refused as not run within 100 ms each
    And the last 5 of the other requests were answered
