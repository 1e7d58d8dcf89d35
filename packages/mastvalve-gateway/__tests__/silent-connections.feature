Feature: Connections whose requests don't come

  # Guards against connections that hold memory and descriptors for half a minute: the limit of 3 s on headers was checked every 30 s only.
  Scenario: Silent connections and those with a part of a header are closed after the time for headers
    Given 1 entries that follow control
    When 200 connections send nothing, 200 send a part of a header, and 1 is kept after an answer
    Then after 3 s and 1 s more the first 400 are closed, and the kept one serves another request
