Feature: The cell goes on while the store does not serve it

  Background:
    Given a cell
    And a service of 12 tasks runs
    And callers send 60 idempotent requests/s

  Scenario Outline: The store is down or slow for long
    Given a job of 40 tasks of 2 s is accepted
    When the store is <fault> for long
    Then idempotent requests are answered at the rate before the outage
    And non-idempotent requests were refused as not run within 2 s
    And new jobs were refused within 2 s
    And the tasks of the accepted job were all run in the outage
    And the config in force stayed
    When the outage ends
    Then a non-idempotent request, a new job and a patch are taken within 5 s
    And no task of the service was stopped or restarted
    And no task ran in two places and no worker was overrun
    And no refused request ever ran

    Examples:
      | fault  |
      | down   |
      | slow   |

  Scenario: The store is reachable for all but the owners
    When the store is unreachable for the owner of the workers for 8 s
    Then idempotent requests are answered at the rate before the outage
    And no two owners acted at once
    When the outage ends
    Then a non-idempotent request, a new job and a patch are taken within 5 s
    And no task of the service was stopped or restarted
    And no task ran in two places and no worker was overrun

  Scenario: The owner reaches neither the store nor a majority of voters
    When the store is unreachable for the owner of the workers
    And the other instances are paused for 6 s
    Then another owner serves the workers within 3 s
    And no two owners acted at once
    When the outage ends
    Then a non-idempotent request, a new job and a patch are taken within 5 s
    And no task ran in two places and no worker was overrun
