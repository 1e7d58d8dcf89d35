Feature: Placement of models on engines

  Scenario: A busy model without a holder is loaded before a rare one with queued requests
    Given 2 engines with free memory for one model each and no weights on their disks
    When requests for a rare model and for a busy one are queued
    Then the busy one is loaded first

  Scenario: A rare model is not loaded from the store while an engine has its weights
    Given 2 engines of which one is loading and has the weights of a rare model on its disk
    When requests for the rare model are queued
    Then no move is planned

  # Guards against a load from the store when demand shifts within a second to a model whose weights are on the disk of one
  # engine, which also holds a model with some demand.
  Scenario: A busy model is loaded where its weights are near, even if that evicts a model with demand
    Given an idle engine without weights of "e", and one with them on its disk whose model receives 16.0 requests per second
    When a request for "e" is queued, with 12.0 requests per second
    Then it is loaded from the disk

  # Guards against refusals when the only engine of a model has announced a limit of a few requests per second while other
  # engines have free capacity and memory.
  Scenario: A model gets another engine when its only engine accepts fewer requests than arrive
    Given 2 engines with free memory for one more model, of which one holds "a" and accepts 1.7 requests per second
    When demand for "a" is 3.0 requests per second
    Then "a" is loaded on the other engine

  Scenario: A model gets no other engine when its engine accepts all requests
    Given 2 engines with free memory for one more model, of which one holds "a" and accepts 30.0 requests per second
    When demand for "a" is 3.0 requests per second
    Then no move is planned

  Scenario: A model gets another engine when requests are queued for its only engine
    Given 2 engines with free memory for one more model, of which one holds "a" and accepts 1.7 requests per second
    When a request for "a" is queued, with 0.4 requests per second
    Then "a" is loaded on the other engine

  Scenario: The last copy of a requested model is not evicted for a second copy of another
    Given 2 full engines that hold different models, all requested
    Then a model with more demand evicts none of them for a second engine

  Scenario: A second copy of a model to which demand is about to shift is not evicted for a rare one
    Given 2 full engines that hold the models "acd" and "bce"
    When the models are requested at "14 1 0 0.5 0.5 0.2" requests per second
    And a request for the model "f" is queued
    Then a move is planned that does not evict "c"

  Scenario: A shift of demand is detected
    Given observed demand of "20 8 6 0 0 0" requests per second, then of "0 0 0 20 8 6"
    Then the shift is 3

  Scenario: A model that is the busiest for a moment only gives no shift
    Given observed demand of "20 8 6 0 0 0" requests per second, then of "0 0 0 20 8 6"
    When demand is "0 0 0 8 20 6" requests per second for 500 ms
    Then the shift is 3

  Scenario: Demand without a single busiest model gives no shift
    Given observed demand of "20 18 6 0 0 0" requests per second, then of "0 0 20 18 8 6"
    Then no shift is detected

  Scenario: The model to which demand shifts next has the highest forecast rate of the others
    Given observed demand of "20 8 6 0 0 0" requests per second, then of "0 20 8 6 0 0"
    Then at "0 20 8 6 0 0" requests per second the highest forecast rate of the other models is that of "c"

  Scenario: Urgent demand is not forecast to shift to a model with latency-tolerant callers
    Given 2 full engines that hold the models "abc" and "def"
    When the models are requested at "14 1 0 0.5 0.5 0.2" requests per second, "c" only by latency-tolerant callers
    Then "c" has a forecast rate of 0 requests per second
    And "d" has a forecast rate of 10.5 requests per second

  Scenario: A model with too few engines is loaded before a rare one with queued requests
    Given 2 full engines that hold the models "abc" and "bcd"
    When the models are requested at "20 0.1 0.1 0.1 0 0.2" requests per second, "f" only by latency-tolerant callers
    And a request for the model "f" is queued
    Then "a" is loaded first

  Scenario: A model with latency-tolerant callers is evicted before one with urgent callers
    Given 2 full engines that hold the models "abc" and "dea"
    When the models are requested at "8 2 1 1 1 1" requests per second, "b" only by latency-tolerant callers
    And a request for the model "f" is queued
    Then "b" is evicted

  Scenario: Rates expected before the first request decay after it
    Given an estimate that expects 10 requests per second for "b"
    When the first request arrives, for "a"
    Then "b" has an estimate above 7 requests per second 1000 ms later
    And "b" has an estimate below 1 request per second 12000 ms later

  Scenario Outline: The number of engines of a model depends on their time to first byte
    Given 2 engines, one of which holds "a", with a time to first byte of <head> ms
    When "a" is requested at <rate> requests per second
    Then another engine loads "a": <loads>

    Examples:
      | head | rate | loads |
      | 125  | 3    | no    |
      | 125  | 6    | yes   |
      | 62   | 6    | no    |
      | 62   | 12   | yes   |
      | 250  | 1.5  | no    |
      | 250  | 3    | yes   |

  Scenario: A model gets another engine because of the load of other models on its engine
    Given 2 engines, one of which holds "a" and a busy "b"
    Then another engine loads "a" or "b"

  Scenario: The additional engine is the one with the lowest utilization
    Given a busy engine with "a", one with high and one with low utilization
    Then the one with low utilization loads "a"

  Scenario: A load in flight does not lead to the eviction of the last copy of a model
    Given an engine that holds a busy "a", and another one on which a load of "a" is in flight
    When requests for "f" are queued
    Then "a" is not unloaded

  Scenario: No move exceeds the free memory
    Then 300 random fleets get only moves that fit
