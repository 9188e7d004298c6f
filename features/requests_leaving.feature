Feature: A leaving target gets no new request after 2 s

  Background:
    Given callers send 80 requests per second for 4 s

  Scenario: The target refuses while the instance list lags 5 s
    Given the instance list lags 5 s
    When target bench-1 is leaving and says so
    Then bench-1 is sent nothing new later than 2 s after that
    And every caller has its whole own answer

  Scenario: The instance list says it while a scheduler is paused
    Given a scheduler that owns no target of layout is paused
    When target bench-2 is leaving and does not say so
    Then bench-2 is sent nothing new later than 2 s after that
    And every caller has its whole own answer

  Scenario: The owner is paused when the instance list says it
    Given the owner of bench-3 is paused for 1 s
    When target bench-3 is leaving and does not say so
    Then bench-3 is sent nothing new later than 2 s after that

  Scenario: The instance list says it while the store is down
    Given the store is down
    When target bench-4 is leaving and does not say so
    Then bench-4 is sent nothing new later than 2 s after that
    And every caller has its whole own answer
