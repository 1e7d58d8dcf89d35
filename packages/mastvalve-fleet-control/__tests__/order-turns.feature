Feature: One holder of the orders after another

  Scenario: A new holder orders an engine at once that nobody has ordered for longer than the lease
    Given engine "a" that was last ordered at 0 ms
    And engine "b" that was last ordered at 8000 ms
    When an instance becomes the holder after another one at 9000 ms, with a lease of 3000 ms
    Then it may order "a" from 9000 ms on
    And it may order "b" from 11000 ms on

  Scenario: An engine with an order that has not ended is left alone for the whole lease
    Given engine "a" with an order since 0 ms that has not ended
    When an instance becomes the holder after another one at 9000 ms, with a lease of 3000 ms
    Then it may order "a" from 12000 ms on

  Scenario: An instance that has just started knows nothing of former orders and waits for the whole lease
    Given engine "a" that was last ordered at 0 ms
    When an instance that has just started becomes the holder after another one at 9000 ms, with a lease of 3000 ms
    Then it may order "a" from 12000 ms on

  Scenario: An engine that nobody ever ordered needs no wait
    Given engine "a" that was never ordered
    When an instance becomes the holder after another one at 9000 ms, with a lease of 3000 ms
    Then it may order "a" from 9000 ms on

  Scenario: Its own orders keep a holder from nothing
    Given engine "a" that was last ordered at 0 ms
    When an instance becomes the holder after another one at 9000 ms, with a lease of 3000 ms
    And it orders "a" at 9100 ms
    Then it may order "a" again at 9200 ms

  Scenario: However holders follow each other, no engine is ordered by two of them within a lease
    Then 300 random series of records, claims and orders keep the turns at every engine
    And with a holder that ignores records the same series break them

  Scenario: Loads from the store that a former holder has begun count in the store's rate
    Given a store that allows 2 loads a second in windows of 5000 ms
    When a former holder's records show a load from the store at 1000 ms and one from disk
    Then 9 loads may begin at 1100 ms
    And 10 loads may begin at 6100 ms

  Scenario: A load whose order was not answered counts until it has begun
    Given a store that allows 2 loads a second in windows of 5000 ms
    When a load is ordered at 0 ms and known to have begun at 12000 ms
    Then 9 loads may begin at 16000 ms
    And 10 loads may begin at 17100 ms
