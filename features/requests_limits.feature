Feature: Slots, connections and send queues are never overrun

  Scenario Outline: The successor takes over while its predecessor's work runs
    Given each runner goes on with its work when its caller is gone
    When callers with deadlines of 22 s send 16 idempotent requests of 6000 ms to <service>
    And the runners of <service> work on 12 requests
    And the scheduler of the owner of <shard> is killed
    And callers with deadlines of 22 s send 40 idempotent requests of 50 ms to <service>
    Then no runner had more work than its slots and connections
    And every caller has its whole own answer
    And its shard has changed hands

    Examples:
      | service | shard             |
      | layout  | requests/layout/1 |
      | render  | requests/render/0 |

  Scenario: The owner is paused past its lease and goes on
    When callers send 80 requests per second for 4 s to render
    And the runners of render work on 8 requests
    And the scheduler of the owner of requests/render/0 is paused for 3 s
    Then no runner had more work than its slots and connections
    And no former owner sent a request after its successor's first
    And no non-idempotent request ran twice
    And every caller has its whole own answer or a truthful refusal
    And its shard has changed hands

  Scenario: The owner goes on after its lease and reaches no store
    When callers with deadlines of 8 s send 160 idempotent requests of 400 ms to layout
    And the runners of layout work on 12 requests
    And the scheduler of the owner of requests/layout/1 is cut off the store and paused for 3 s
    Then no former owner sent a request after its successor's first
    And no runner had more work than its slots and connections
    And every caller has its whole own answer or a truthful refusal
    And its shard has changed hands

  Scenario: A mesh queue is full
    Given the scheduler of the owner of requests/render/0 is paused
    When callers with deadlines of 3 s send 200 requests with bodies of 200 KB to render
    And all callers have an outcome
    And the paused processes go on
    Then at least 20 callers got mesh_queue_full as not_run
    And every caller has its whole own answer or a truthful refusal
    And later requests to render are answered
