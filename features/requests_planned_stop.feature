Feature: A planned stop cuts off nothing

  Scenario Outline: Instances stop under full load
    Given callers send 100 requests per second for 4 s
    When <count> instances get SIGTERM
    Then their daemons end with exit code 0
    And every caller has its whole own answer
    And no non-idempotent request ran twice

    Examples:
      | count |
      | 1     |
      | 2     |

  Scenario: An instance stops while the store is down
    Given callers send 60 requests per second for 3 s
    When the store goes down
    And 1 instances get SIGTERM
    And the store is back after 2 s
    Then their daemons end with exit code 0
    And every caller has its whole own answer or a truthful refusal
    And every idempotent request is answered

  Scenario: An operator drains an instance
    Given callers send 100 requests per second for 3 s
    When an operator drains the owner of requests/layout/0
    Then its scheduler ends with exit code 0
    And every caller has its whole own answer
    And no non-idempotent request ran twice

  Scenario: A caller is still sending its body when the entry stops
    When a caller has sent half of its body to an entry that gets SIGTERM
    And it sends the other half 1.5 s later
    Then it has its whole own answer
    And their daemons end with exit code 0

  Scenario: A caller reads slowly when the entry stops
    When a caller has read half of its answer from an entry that gets SIGTERM
    And it reads the other half 1.5 s later
    Then it has its whole own answer
    And their daemons end with exit code 0

  Scenario: A caller that is gone holds up no stop
    When a caller disconnects while its request runs
    And the entry that it asked gets SIGTERM
    Then their daemons end with exit code 0
