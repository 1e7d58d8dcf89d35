Feature: Requests through a gateway

  Scenario: An answer without a length that ends with its connection is whole
    Given an endpoint that answers "without a length, then closes"
    When a caller sends an "unsafe" request
    Then it gets status 200 with the body "half" whole

  Scenario: An answer without a length whose connection is reset is not passed on as whole
    Given an endpoint that answers "without a length, then resets"
    When a caller sends an "unsafe" request
    Then it gets no whole answer
    And the endpoint got 1 request

  Scenario: An answer that ends before its length is not passed on as whole
    Given an endpoint that answers "too short, then closes"
    When a caller sends an "unsafe" request
    Then it gets no whole answer

  Scenario: A surplus answer on a kept connection is never the answer of the next request
    Given an endpoint that answers "whole, with a surplus answer behind"
    When a caller sends 3 "unsafe" requests one after another
    Then each answer is its own

  Scenario: An answer that belongs to another request is not passed on
    Given an endpoint that answers "with another request's id"
    When a caller sends an "unsafe" request
    Then it gets status 502 with the word "outcome-unknown"
    And the endpoint got 1 request

  Scenario: A refusal with the promise that nothing was run goes to another endpoint
    Given an endpoint that answers "not run"
    And an endpoint that answers "whole"
    When a caller sends an "unsafe" request
    Then it gets status 200 with the body "whole" whole

  Scenario: A refusal without that promise is not passed on as one for a request that may not be repeated
    Given an endpoint that answers "503 without a promise"
    And an endpoint that answers "whole"
    When a caller sends an "unsafe" request
    Then it gets status 502 with the word "outcome-unknown"

  Scenario: A lost answer of a safe request is asked for again elsewhere
    Given an endpoint that answers "nothing, then resets"
    And an endpoint that answers "whole"
    When a caller sends a "safe" request
    Then it gets status 200 with the body "whole" whole

  Scenario: A broken resumable stream goes on elsewhere after the last whole event
    Given an endpoint that answers "two events and a piece, then resets"
    And an endpoint that answers "the events that follow"
    When a caller sends a "stream" request
    Then it gets status 200 with the events "1 2 3 4" whole

  Scenario: A request whose body is too large is refused and not run
    Given an endpoint that answers "whole"
    When a caller sends an "unsafe" request with 2000 bytes
    Then it gets status 413 with the word "body-too-large"
    And the endpoint got 0 requests

  Scenario: An entry that begins to stop refuses what waits for a model, at once and truly
    Given an endpoint that answers "whole"
    When a caller's request waits for a model that nobody holds and the entry begins to stop
    Then it gets status 503 with the word "overloaded"
    And the endpoint got 0 requests

  Scenario: A stopping entry that takes no more refuses what comes behind an answer on an open connection
    Given an endpoint that answers "its head, then the rest when asked for"
    When a request comes behind an answer in progress after the entry has stopped taking requests
    Then it gets status 503 with the word "stopping"
    And the endpoint got 1 request

  Scenario: A request is refused early when its model is not expected before the caller gives up
    Given an endpoint that answers "whole"
    When a caller with 2000 ms left asks for a model that takes 9000 ms to load
    Then it gets status 503 with the word "overloaded"
    And the endpoint got 0 requests

  Scenario: A request that is held for a load is refused as soon as that load is not expected any more
    Given an endpoint that answers "whole"
    When a caller's request is held for a load that is then given up
    Then it gets status 503 with the word "overloaded"
    And it was refused before half of its time was over
    And the endpoint got 0 requests

  Scenario: A request whose only endpoint is gone waits for its model elsewhere
    Given an endpoint that answers "whole"
    And an endpoint where nobody listens any more
    When a caller asks for a model that only the endpoint without listener holds, and it is loaded elsewhere
    Then it gets status 200 with the body "whole" whole
    And control was told which endpoint is absent

  Scenario: Where nobody listens any more no further request is tried; it waits for its model elsewhere
    Given an endpoint that answers "whole"
    And an endpoint where nobody listens any more
    And an endpoint where nobody listens any more
    And an endpoint where nobody listens any more
    When a caller has found that nobody listens at the last three, which alone hold its model, and another one asks for it
    Then the other one waits, and gets status 200 when the model is loaded elsewhere

  Scenario: A caller with time for a load from the store waits for it
    Given an endpoint that answers "whole"
    When a caller with 60000 ms left asks for a model that takes 9000 ms to load, and it is loaded after the time of decision
    Then it gets status 200 with the body "whole" whole

  Scenario: A request that comes before the entry knows the newest configuration waits for it
    Given an endpoint that answers "whole"
    When a caller sends an "unsafe" request before the entry knows the newest configuration
    Then it gets status 200 with the body "whole" whole

  Scenario: 300 callers that connect at the same moment are all answered
    Given an endpoint that answers "whole"
    When 300 callers connect and send a request each
    Then all of them get status 200

  Scenario: The work of an engine is that of the mean prompt, not of the typical one
    Given engines that read 20 tokens in a ms, and prompts of which 9 in 10 have 400 tokens and the others 16000
    Then an entry expects about 98 ms after 600 requests

  Scenario Outline: An entry learns how fast engines begin answers, whatever else delays them
    Given engines that begin an answer in <head> ms, and 4 in 10 answers later by 2000 ms
    Then an entry expects about <head> ms after 60 requests

    Examples:
      | head |
      | 30   |
      | 125  |
      | 400  |

  Scenario: An engine whose last answers began late is avoided for a while
    Given two engines with one load, of which one began its last answers 500 ms late
    Then the other one is chosen, and either of them 5000 ms later

  Scenario: The route's time ends a request with a last answer
    Given an endpoint that answers "nothing"
    When a caller sends an "unsafe" request with 300 ms left
    Then it gets status 504 with the word "deadline-passed"

  Scenario: A caller that leaves before the entry knows the newest configuration is not served any more
    Given an endpoint that answers "whole"
    When a caller sends a request before the entry knows the newest configuration and leaves
    Then nothing of it reaches an endpoint when the entry knows the configuration

  Scenario: A caller that leaves with two requests on one connection stops the runs of both
    Given an endpoint that answers "nothing"
    When a caller leaves after its second request came behind one that is not answered
    Then no run goes on at the endpoint

  Scenario: A caller that leaves while its request waits for a model is not served any more
    Given an endpoint that answers "whole"
    When a caller leaves whose two requests wait for a model that is loaded after that
    Then nothing of it reaches an endpoint when the model is there

  Scenario: A caller that leaves between two tries is not served any more
    Given an endpoint that answers "not run" when asked for
    And an endpoint that answers "whole"
    When a caller leaves while its second request behind another one is tried at the first endpoint, which then refuses it
    Then the second endpoint gets no request

  Scenario: When a kept connection to an endpoint goes silent, the others that rest are not used again
    Given an endpoint whose connections go silent after their first answer, while new ones work
    When 3 requests were answered together, and one after them is not answered for a while
    Then the next request is answered at once

  Scenario: When all kept connections to an endpoint go silent, requests are served again within a second
    Given an endpoint whose connections go silent after their first answer, while new ones work
    When 20 requests were answered together, and one comes each 50 ms after them
    Then the first of these that is answered has its answer within 1000 ms of the first of all

  # Retries that operators allow for all entries together were kept by each entry for itself, as a number of its own: three each,
  # so that 68 entries made 204 in a window for which 176 were allowed, and 750 would make 2,250.
  Scenario Outline: <entries> entries together make no more retries than operators allow
    Given operators allow 176 retries in a window besides a part of the requests
    When <entries> entries get a request each and every one of them fails
    Then they make at most 176 retries

    Examples:
      | entries |
      | 1       |
      | 31      |
      | 68      |
      | 750     |
