Feature: A non-idempotent request runs at most once

  Scenario: The target cuts the connection after it has read the request
    Given each runner cuts 3 connections after reading
    When callers send 40 non-idempotent requests of 50 ms to layout
    And all callers have an outcome
    And each caller sends its id again through another entry
    Then no non-idempotent request ran twice
    And every caller has its whole own answer or a truthful refusal
    And at least 12 callers got outcome_unknown
    And at least 40 callers got duplicate_id

  Scenario: The target closes reused connections without notice
    Given the runners close idle connections without notice
    When callers send 60 non-idempotent requests of 5 ms to layout
    And all callers have an outcome
    And callers send 60 non-idempotent requests of 5 ms to layout
    Then no non-idempotent request ran twice
    And every caller has its whole own answer or a truthful refusal

  Scenario: The same id arrives at two entries at once
    When each of 40 non-idempotent requests goes through two entries at once
    Then no non-idempotent request ran twice
    And every caller has its whole own answer or a truthful refusal
    And at least 40 callers got answered
    And at least 40 callers got duplicate_id

  Scenario Outline: The owner is killed while requests wait for slots
    When callers send 80 non-idempotent requests of 500 ms to layout
    And the runners work on 16 requests
    And the <process> of the owner of requests/layout/0 is killed
    And all callers have an outcome
    And each caller sends its id again through another entry
    Then no non-idempotent request ran twice
    And every caller has its whole own answer or a truthful refusal
    And its shard has changed hands

    Examples:
      | process        |
      | scheduler      |
      | whole instance |

  Scenario Outline: The owner is killed while intents are being recorded
    Given the store takes 0.5 s for a journal write
    When callers send 60 non-idempotent requests of 100 ms to layout
    And a journal write is under way
    And the <process> of the owner of requests/layout/0 is killed
    And all callers have an outcome
    And each caller sends its id again through another entry
    Then no non-idempotent request ran twice
    And every caller has its whole own answer or a truthful refusal
    And its shard has changed hands

    Examples:
      | process        |
      | scheduler      |
      | whole instance |

  Scenario: The owner is killed after it has sent requests
    When callers send 16 non-idempotent requests of 1500 ms to render
    And the runners work on 16 requests
    And the scheduler of the owner of requests/render/0 is killed
    And all callers have an outcome
    And each caller sends its id again through another entry
    Then no non-idempotent request ran twice
    And every caller has its whole own answer or a truthful refusal
    And at least 16 callers got outcome_unknown
    And its shard has changed hands

  Scenario: Answers of the store are lost after the writes took effect
    Given the store loses 30% of its answers to journal writes
    When callers send 80 non-idempotent requests of 20 ms to layout
    And all callers have an outcome
    And each caller sends its id again through another entry
    Then no non-idempotent request ran twice
    And every caller has its whole own answer or a truthful refusal
    And at least 40 callers got answered
