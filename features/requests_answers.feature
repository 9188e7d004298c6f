Feature: A caller gets the whole answer to its own request, or the truth

  Scenario: Answers come late, reordered and twice
    When callers send 200 requests of mixed run times and sizes to layout
    Then every caller has its whole own answer

  Scenario: Requests and answers have large bodies
    When callers send 24 requests with bodies of 500 KB to layout
    Then every caller has its whole own answer

  Scenario: The owner is killed between the request and its large answer
    When callers send 24 requests with bodies of 500 KB to layout
    And the runners work on 16 requests
    And the whole instance of the owner of requests/layout/0 is killed
    Then every caller has its whole own answer
    And its shard has changed hands

  Scenario Outline: An entry is killed while its callers wait
    When callers send 60 <kind> requests of 400 ms to layout
    And the runners work on 16 requests
    And the entry of the owner of requests/layout/0 is killed
    Then every caller has its whole own answer
    And some callers asked another entry
    And no non-idempotent request ran twice

    Examples:
      | kind           |
      | idempotent     |
      | non-idempotent |

  Scenario Outline: The deadline ends the wait in the queue
    When callers with deadlines of 1 s send 250 <kind> requests of 400 ms to layout
    And all callers have an outcome
    And the runners have ended their work
    Then every caller has its whole own answer or a truthful refusal
    And at least 100 callers got deadline_exceeded as not_run

    Examples:
      | kind           |
      | idempotent     |
      | non-idempotent |

  Scenario Outline: Deadlines pass while slots become free
    When callers with deadlines around 0.5 s send 300 <kind> requests of 100 ms to layout
    And all callers have an outcome
    And the runners have ended their work
    Then every caller has its whole own answer or a truthful refusal
    And at least 20 callers got deadline_exceeded as not_run

    Examples:
      | kind           |
      | idempotent     |
      | non-idempotent |

  Scenario: The deadline passes while the intent is being recorded
    Given the store takes 0.8 s for a journal write
    When callers with deadlines of 0.4 s send 40 non-idempotent requests of 10 ms to layout
    And all callers have an outcome
    And the store is back
    And a later non-idempotent request is answered
    Then every caller has its whole own answer or a truthful refusal
    And at least 40 callers got deadline_exceeded as not_run

  Scenario: The deadline passes while a target holds unread requests
    When the runners of render are paused
    And callers with deadlines of 0.5 s send 40 non-idempotent requests of 10 ms to render
    And all callers have an outcome
    And the paused processes go on
    And the runners have ended their work
    Then every caller has its whole own answer or a truthful refusal
    And at least 16 callers got deadline_exceeded as unknown
    And at least 20 callers got deadline_exceeded as not_run

  Scenario: No owner takes the second call for an id that ran
    When callers with deadlines of 2 s send 16 non-idempotent requests of 800 ms to render
    And the runners work on 16 requests
    And the store goes down
    And the scheduler of the owner of requests/render/0 is killed
    And all callers have an outcome
    And each caller sends its id again through another entry
    Then every caller has its whole own answer or a truthful refusal
    And no non-idempotent request ran twice
