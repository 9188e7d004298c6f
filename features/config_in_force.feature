Feature: An accepted config version is in force everywhere and never reverts

  Background:
    Given a cell
    And all instances are asked for their config version all the time

  Scenario: Operators race patches that do not conflict through two entries
    When two operators submit 15 patches each to paths of their own
    Then all patches are accepted, each as a version of its own
    And the last version is in force at all instances within 5 s
    And no instance has served an older version after a newer one

  Scenario: Operators race patches that conflict through two entries
    When two operators submit 15 patches each to one path with a common base
    Then of each pair of patches one is accepted and the other is a conflict
    And the last version is in force at all instances within 5 s
    And no instance has served an older version after a newer one

  Scenario: The store's answer to the write of a patch is lost
    Given the store loses the answer to the next write of a patch
    When a patch is submitted
    Then it is accepted as the next version, which the history has once
    And the last version is in force at all instances within 5 s
    And no instance has served an older version after a newer one

  Scenario: The store goes down just after a patch was accepted
    When a patch is submitted
    And the store goes down
    Then the last version is in force at all instances within 5 s
    When the store is up again
    And a patch is submitted
    Then the last version is in force at all instances within 5 s
    And no instance has served an older version after a newer one

  Scenario Outline: An instance is paused while versions pass
    When the <instance> instance is paused
    And 10 patches are submitted
    And the paused instance continues
    Then the last version is in force at all instances within 5 s
    And no instance has served an older version after a newer one

    Examples:
      | instance |
      | first    |
      | last     |
