Feature: The ends of events in a stream

  Scenario: The scanner finds the same events however a stream is split
    Then for each stream of random lines, comments and line ends, any split into chunks gives the same events and the same end

  Scenario: The scanner finds the ends of events that a parser of the whole text finds
    Then for each stream of random lines, comments and line ends, the scanner agrees with a parser of the whole text
