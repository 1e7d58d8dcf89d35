Feature: Requests through a gateway

  Scenario: An answer without a length that ends with its connection is complete
    Given an endpoint that answers "without a length, then closes"
    When a caller sends an "unsafe" request
    Then the caller gets status 200 with the complete body "half"

  Scenario: An answer without a length whose connection is reset is not relayed as complete
    Given an endpoint that answers "without a length, then resets"
    When a caller sends an "unsafe" request
    Then the caller gets no complete answer
    And the endpoint received 1 request

  Scenario: An answer that ends before its length is not relayed as complete
    Given an endpoint that answers "too short, then closes"
    When a caller sends an "unsafe" request
    Then the caller gets no complete answer

  Scenario: A surplus answer on a keep-alive connection is never used for the next request
    Given an endpoint that answers "complete, followed by a surplus answer"
    When a caller sends 3 "unsafe" requests sequentially
    Then each request gets its own answer

  Scenario: An answer that belongs to another request is not relayed
    Given an endpoint that answers "with another request's id"
    When a caller sends an "unsafe" request
    Then the caller gets status 502 with the code "outcome-unknown"
    And the endpoint received 1 request

  # Guards against a request that runs twice: the late copy of another request's refusal was taken for its own.
  Scenario: The refusal of another request doesn't send a request that must not be repeated to a second endpoint
    Given an endpoint that answers "the refusal of another request, and runs it"
    And an endpoint that answers "whole"
    When a caller sends an "unsafe" request
    Then the caller gets status 502 with the code "outcome-unknown"
    And the endpoint received 1 request
    And the second endpoint receives no request

  # Guards against a caller that is told "not run" about a request that runs, for the same reason.
  Scenario: The late copy of a refusal on a kept connection doesn't refuse the next request
    Given an endpoint that answers "its first request with a refusal, and on the same connection the next one with a copy of it before the answer"
    When a caller sends 3 "unsafe" requests sequentially
    Then the callers get the statuses "503 502 200"
    And the endpoint received 3 requests over 2 connections

  Scenario: A request that may be repeated is sent to another endpoint after the refusal of another request
    Given an endpoint that answers "the refusal of another request, and runs it"
    And an endpoint that answers "whole"
    When a caller sends a "safe" request
    Then the caller gets status 200 with the complete body "whole"

  # Guards against an endpoint that is recorded as replaced by the late copy of an answer from before it registered.
  Scenario: An answer that says that another request is misdirected doesn't take the endpoint out of use
    Given an endpoint that answers "that another request is misdirected, and runs it"
    When a caller sends 3 "unsafe" requests sequentially
    Then the callers get the statuses "502 502 502"
    And the endpoint received 3 requests over 3 connections

  # Guards against speeds and loads that are learned from the late copy of another answer.
  Scenario: An answer that belongs to another request says nothing of how fast its endpoint is
    Given an endpoint that answers "with another request's id and a load"
    When a caller sends a request for a model of the endpoint
    Then the entry knows neither a time of first bytes of that model nor a load of that endpoint

  # Guards against a load that is recorded for the former endpoint at an address.
  Scenario: The load of an endpoint that has taken over an address is not recorded as that of the former one
    Given an endpoint that answers "in the name of another endpoint that has a load"
    When a caller sends a request for a model of the endpoint
    Then the entry knows neither a time of first bytes of that model nor a load of that endpoint

  # Guards against a refusal of unknown origin that is believed: endpoints echo the id of each request.
  Scenario: A refusal that names no request doesn't refuse a request that must not be repeated
    Given an endpoint that answers "a refusal that names no request"
    When a caller sends an "unsafe" request
    Then the caller gets status 502 with the code "outcome-unknown"

  Scenario: A request that is refused as not run is sent to another endpoint
    Given an endpoint that answers "not run"
    And an endpoint that answers "whole"
    When a caller sends an "unsafe" request
    Then the caller gets status 200 with the complete body "whole"

  Scenario: A refusal without the not-run header is not relayed as a refusal for a request that must not be repeated
    Given an endpoint that answers "503 without the not-run header"
    And an endpoint that answers "whole"
    When a caller sends an "unsafe" request
    Then the caller gets status 502 with the code "outcome-unknown"

  Scenario: A safe request whose answer is lost is retried at another endpoint
    Given an endpoint that answers "nothing, then resets"
    And an endpoint that answers "whole"
    When a caller sends a "safe" request
    Then the caller gets status 200 with the complete body "whole"

  Scenario: A broken resumable stream continues at another endpoint after the last complete event
    Given an endpoint that answers "two events and a partial one, then resets"
    And an endpoint that answers "the following events"
    When a caller sends a "stream" request
    Then the caller gets status 200 with the complete events "1 2 3 4"

  Scenario: A request whose body is too large is refused and not run
    Given an endpoint that answers "whole"
    When a caller sends an "unsafe" request with a body of 2000 bytes
    Then the caller gets status 413 with the code "body-too-large"
    And the endpoint received 0 requests

  Scenario: An entry that starts to drain refuses requests that wait for a model, at once and as not run
    Given an endpoint that answers "whole"
    When a request waits for a model that no endpoint holds, and the entry starts to drain
    Then the caller gets status 503 with the code "overloaded"
    And the endpoint received 0 requests

  Scenario: A stopping entry that accepts no more requests refuses a request pipelined behind an answer on an open connection
    Given an endpoint that answers "its head, and the rest when the test releases it"
    When a request is pipelined behind an answer in progress after the entry has stopped accepting requests
    Then the caller gets status 503 with the code "stopping"
    And the endpoint received 1 request

  Scenario: A request is refused early when its model is not expected before the deadline of the caller
    Given an endpoint that answers "whole"
    When a caller sends a request with a deadline of 2000 ms for a model that takes 9000 ms to load
    Then the caller gets status 503 with the code "overloaded"
    And the endpoint received 0 requests

  # Guards against callers that wait in vain: a request that had returned with little time left waited for a fifth of its objective, or until its deadline.
  Scenario: A request with a long objective but less time left than any load takes is refused at once
    Given an endpoint that answers "whole"
    When a caller sends a request with an objective of 8 s and a deadline of 3000 ms for a model that takes 9 s to load
    Then the caller gets status 503 with the code "overloaded"
    And it is refused within 500 ms
    And the endpoint received 0 requests

  Scenario: A request that is held for a load is refused as soon as that load is no longer expected
    Given an endpoint that answers "whole"
    When a request is held for a load that is then cancelled
    Then the caller gets status 503 with the code "overloaded"
    And it is refused before half of its timeout has passed
    And the endpoint received 0 requests

  Scenario: A request whose only endpoint is gone waits for its model at another endpoint
    Given an endpoint that answers "whole"
    And an endpoint that no longer listens
    When a caller requests a model that only the endpoint without a listener holds, and it is loaded at another endpoint
    Then the caller gets status 200 with the complete body "whole"
    And the demand report lists the absent endpoint

  Scenario: No further request is sent to endpoints that do not listen; it waits for its model at another endpoint
    Given an endpoint that answers "whole"
    And an endpoint that no longer listens
    And an endpoint that no longer listens
    And an endpoint that no longer listens
    When a request has found that the last three endpoints, which alone hold its model, do not listen, and another request for the model arrives
    Then the other request waits, and gets status 200 when the model is loaded at another endpoint

  Scenario: A request whose deadline allows a load from the store waits for it
    Given an endpoint that answers "whole"
    When a caller sends a request with a deadline of 60000 ms for a model that takes 9000 ms to load, and it is loaded after the request is held
    Then the caller gets status 200 with the complete body "whole"

  Scenario: A request that arrives before the entry has the newest configuration waits for it
    Given an endpoint that answers "whole"
    When a caller sends an "unsafe" request before the entry has the newest configuration
    Then the caller gets status 200 with the complete body "whole"

  Scenario: 300 callers that connect at the same time are all answered
    Given an endpoint that answers "whole"
    When 300 callers each connect and send a request
    Then all callers get status 200

  Scenario: The work of an engine is estimated from the mean prompt, not from the typical one
    Given engines that prefill 20 tokens per ms, and prompts of which 9 in 10 have 400 tokens and the others 16000
    Then an entry estimates about 98 ms after 600 requests

  Scenario Outline: An entry estimates the time to first byte of engines despite unrelated delays
    Given engines with a time to first byte of <firstByteMs> ms, and 4 in 10 answers delayed by 2000 ms
    Then an entry estimates about <firstByteMs> ms after 60 requests

    Examples:
      | firstByteMs |
      | 30          |
      | 125         |
      | 400         |

  Scenario: An engine whose last answers started late is avoided temporarily
    Given two engines with equal load, of which one started its last answers 500 ms late
    Then the other one is chosen, and either of them 5000 ms later

  Scenario: A request that exceeds its deadline is ended with a final answer
    Given an endpoint that answers "nothing"
    When a caller sends an "unsafe" request with a deadline of 300 ms
    Then the caller gets status 504 with the code "deadline-passed"

  Scenario: A request whose caller disconnects before the entry has the newest configuration is not served
    Given an endpoint that answers "whole"
    When a caller sends a request before the entry has the newest configuration, and disconnects
    Then no endpoint receives the request when the entry has the configuration

  Scenario: A caller that disconnects with two requests on one connection cancels both
    Given an endpoint that answers "nothing"
    When a caller disconnects after it has pipelined a second request behind an unanswered one
    Then no request keeps running at the endpoint

  Scenario: A request whose caller disconnects while it waits for a model is not served
    Given an endpoint that answers "whole"
    When a caller disconnects while two of its requests wait for a model, which is loaded after that
    Then no endpoint receives the requests when the model is loaded

  Scenario: A request whose caller disconnects between two attempts is not served
    Given an endpoint that answers "not run" when the test releases it
    And an endpoint that answers "whole"
    When a caller disconnects while its pipelined second request is in flight at the first endpoint, which then refuses it
    Then the second endpoint receives no request

  Scenario: When a keep-alive connection to an endpoint stops answering, its idle connections are not reused
    Given an endpoint whose connections stop answering after their first answer, while new connections work
    When 3 concurrent requests are answered, and a later one stays unanswered
    Then the next request succeeds

  Scenario: When all keep-alive connections to an endpoint stop answering, requests are served again within a second
    Given an endpoint whose connections stop answering after their first answer, while new connections work
    When 20 concurrent requests are answered, and then one arrives every 50 ms
    Then the first answer to these arrives within 1000 ms of the first of them

  # Guards against a retry budget for all entries together that each entry applies as a fixed number of its own: with three retries
  # each, 68 entries made 204 in a window for which 176 were allowed, and 750 would make 2,250.
  Scenario Outline: <entries> entries together make no more retries than operators allow
    Given operators allow 176 retries in a window in addition to a share of the requests
    When <entries> entries receive one request each, and every attempt fails
    Then at most 176 retries are made in total

    Examples:
      | entries |
      | 1       |
      | 31      |
      | 68      |
      | 750     |
