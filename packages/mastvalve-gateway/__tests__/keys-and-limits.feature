Feature: Keys, workspaces and limits at an entry

  Background:
    Given an entry where the workspace "w1" holds the key "secret-1", and an endpoint

  Scenario: The endpoint receives the workspace of the key, but neither the key nor a workspace header of the caller
    When a caller sends a request with the key "secret-1" and a header for the workspace "w2"
    Then the answer has status 200
    And the endpoint received the workspace "w1" once, and no "secret-1"

  Scenario Outline: A request without a key of a workspace is not run
    When a caller sends a request with the authorization header "<header>"
    Then the answer has status 401
    And the endpoint received no request

    Examples:
      | header                        |
      |                               |
      | Bearer secret-2               |
      | Bearer                        |
      | Basic secret-1                |
      | secret-1                      |
      | Bearer secret-1 secret-1      |
      | Bearer secret-1, Bearer other |

  Scenario: The authorization scheme is case-insensitive
    When a caller sends a request with the authorization header "bEARER   secret-1"
    Then the answer has status 200

  Scenario: A request with two keys is not authorized
    When a caller sends a request with the keys "secret-1" and "secret-1" in two authorization headers
    Then the answer has status 401
    And the endpoint received no request

  Scenario: An anonymous route requires no key, and relays none
    When a caller sends a request on an anonymous route with the key "secret-2"
    Then the answer has status 200
    And the endpoint received no workspace, and no "secret-2"

  Scenario: A request whose key is revoked while it waits is not run
    When a request with the key "secret-1" waits for a model, the key is revoked, and the model is loaded
    Then the answer has status 401
    And the endpoint received no request

  Scenario: An entry whose keys control has not confirmed for too long refuses keys, with a Retry-After
    Given control confirmed the entry's keys 4600 ms ago
    When a caller sends a request with the key "secret-1"
    Then the answer has status 503 and a Retry-After
    And the endpoint received no request

  Scenario: An entry that is disconnected from control continues to serve anonymous routes
    Given control confirmed the entry's keys 4600 ms ago
    When a caller sends a request on an anonymous route with the key "secret-1"
    Then the answer has status 200

  Scenario: An entry that was suspended accepts no key until control has confirmed the keys again
    Given the entry was suspended for 5000 ms
    When a caller sends a request with the key "secret-1"
    Then the answer has status 503 and a Retry-After
    And the endpoint received no request

  Scenario: A request that arrives after a suspension waits for the next answer of control
    Given the entry was suspended for 5000 ms
    When a caller sends a request with the key "secret-1" and control answers 100 ms later
    Then the answer has status 200

  Scenario: The answer to a query from before a suspension confirms nothing after it
    Given the entry was suspended for 5000 ms while its query was in flight
    When a caller sends a request with the key "secret-1"
    Then the answer has status 503 and a Retry-After

  Scenario: A request of a workspace that has reached its limit is refused at once, with the time until the limit allows it
    Given the leader allows a request of "w1" in 700 ms
    When a caller sends a request with the key "secret-1"
    Then the answer has status 429 and a Retry-After of 0.7 s
    And the endpoint received no request

  Scenario: The claim of a request that is not run is refunded
    Given the endpoint refuses all requests as not run
    When a caller sends a request with the key "secret-1"
    Then the answer has status 503 and a Retry-After
    And the next call to the leader refunds the claim

  Scenario: While no leader answers, a workspace continues at its recent rate
    When a caller sends 6 requests with the key "secret-1"
    And the leader stops answering, and the caller sends 30 requests
    Then some of them are served, and no more than the recent rate allows

  Scenario: Neither logs nor answers contain a key
    When a caller sends a request with the key "secret-1" and one with the unknown key "secret-2"
    Then no log line and no answer contains "secret"
