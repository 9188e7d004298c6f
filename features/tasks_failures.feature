Feature: Tasks end or go on as they should under bursts and failures

  Background:
    Given a cell

  Scenario: 10,000 queued tasks are cancelled at once
    Given a service of 4 tasks runs
    And 1 job of 5000 tasks and 100 jobs of 50 tasks are queued
    When these jobs are cancelled at once
    Then health requests during it were answered within 1 s
    And the tasks of the cancelled jobs end and are not started again
    When a job of 12 tasks of 0.2 s is submitted
    Then all tasks of the job succeed
    And no task ran in two places and no worker was overrun

  Scenario: A worker fails everything that it starts
    Given a worker fails everything that it starts
    When a job of 200 tasks of 0.5 s is submitted
    Then the failing worker gets no work but probes after its ejection
    And all tasks of the job succeed
    And no task ran in two places and no worker was overrun

  Scenario: A job fits nowhere
    When a job is submitted that is larger than every worker
    Then it is refused as fits_nowhere and not run

  Scenario: A rack of workers is killed
    Given a service of 12 tasks runs
    When a rack of workers is killed
    Then all tasks of the service run on the other rack
    And no task ran in two places and no worker was overrun

  Scenario: All instances are replaced one after another under load
    Given a service of 12 tasks runs
    And a job of 150 tasks of 0.5 s is submitted
    When all instances are replaced one after another under load
    Then all instances stopped with status 0
    And all tasks of the job succeed
    And no task of the service was stopped or restarted
    And no task ran in two places and no worker was overrun

  Scenario: A rack is killed while instances are replaced under load
    Given a service of 12 tasks runs
    When a rack of workers is killed
    And all instances are replaced one after another under load
    Then all instances stopped with status 0
    And all tasks of the service run on the other rack
    And no task ran in two places and no worker was overrun

  Scenario: Cancellations are raced by starts
    Given starts take 0.3 s and half of their answers are lost
    When 12 jobs of 10 tasks are cancelled while their tasks start
    Then the tasks of the cancelled jobs end and are not started again
    And no task ran in two places and no worker was overrun
