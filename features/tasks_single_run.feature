Feature: No task runs in two places, and no worker is overrun

  Background:
    Given a cell

  Scenario: The owner of the workers is paused past its lease
    Given a service of 18 tasks runs
    When the owner of the workers is paused
    And a worker restarts
    Then another owner with a higher epoch serves the workers within 3 s
    When the paused owner continues
    Then all tasks of the service run
    And no worker hears from the former owner
    And no task ran in two places and no worker was overrun

  Scenario: Answers of workers to starts are lost
    Given each worker loses the answers to its next 2 starts
    When a job of 30 tasks of 0.5 s is submitted
    Then all tasks of the job succeed
    And each worker has lost answers
    And no task ran in two places and no worker was overrun

  Scenario: A worker is partitioned from the owner longer than its task lease
    Given a service of 18 tasks runs
    When a worker is partitioned
    Then its tasks run elsewhere
    When the partition ends
    Then all tasks of the service run
    And no task ran in two places and no worker was overrun

  Scenario: The owner of the workers is killed twice in a row
    Given a worker answers 0.5 s late
    And a job of 18 tasks of 6 s is submitted
    And a job of 30 tasks of 0.5 s is submitted
    When the owner of the workers is killed
    Then another owner with a higher epoch serves the workers within 3 s
    When the owner of the workers is killed
    Then another owner with a higher epoch serves the workers within 3 s
    And all tasks of the jobs succeed
    And no task ran in two places and no worker was overrun

  Scenario: Tasks use more or less than they declare
    Given a job of 24 tasks of 2 s that use 0.2 of what they declare
    And a job of 24 tasks of 2 s that use 3.0 of what they declare
    When a job of 24 tasks of 0.5 s is submitted
    Then all tasks of the jobs succeed
    And no task ran in two places and no worker was overrun

  Scenario: The former owner and its successor claim the workers at once
    Given a job of 120 tasks of 0.5 s is submitted
    When the owner of the workers is paused about as long as its lease, twice
    Then all tasks of the job succeed
    And no task ran in two places and no worker was overrun
