Feature: Endpoints that speak as mastvalve

  # Guards against calls that run again, or are told as not run, although they ran: an entry took an endpoint's own header and media type for its sidecar's refusal.
  Scenario Outline: An answer with <header> from an endpoint that has run the call is the endpoint's own answer
    Given two sidecars of an endpoint that runs each call and answers 503 as problem details with "<header>"
    When an entry sends it a call that must not be repeated
    Then the call has run 1 time
    And the entry reads "the endpoint's answer"
    And the headers of mastvalve on it are the sidecar's

    Examples:
      | header                                 |
      | mastvalve-outcome: not-run             |
      | Mastvalve-Outcome: not-run             |
      | mastvalve-outcome: unknown             |
      | mastvalve-clock: 99999999999999.1      |
      | mastvalve-load: 0;0                    |
      | mastvalve-endpoint: other              |
      | mastvalve-request-id: other            |
      | mastvalve-name-that-is-not-yet-used: 1 |

  Scenario: A sidecar's own refusal is still taken for one
    Given two sidecars of an endpoint that leaves
    When an entry sends it a call that must not be repeated
    Then the call has run 0 times
    And the entry reads "endpoint-leaving not-run"
