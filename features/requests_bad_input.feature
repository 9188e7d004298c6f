Feature: Bad input is refused with a code and a remedy

  Scenario Outline: The entry refuses a bad call and goes on
    When a caller sends <input>
    Then it gets status <status> and code <code> with a remedy
    And the refusal counter of <code> increases at the <daemon>
    And a following good request is answered

    Examples:
      | input                           | status | code              | daemon    |
      | a malformed body                | 400    | malformed         | entry     |
      | a body that is no object        | 400    | malformed         | entry     |
      | an unknown field                | 400    | unknown_field     | entry     |
      | a body above the limit          | 413    | too_large         | entry     |
      | a deadline in the past          | 504    | deadline_exceeded | entry     |
      | no id                           | 400    | invalid_value     | entry     |
      | a job of negative size          | 400    | invalid_value     | entry     |
      | a job larger than every worker  | 422    | fits_nowhere      | scheduler |
      | a job of an unknown team        | 404    | unknown_team      | scheduler |
      | an id that was used             | 409    | duplicate_id      | scheduler |
      | a request to an unknown service | 404    | unknown_service   | entry     |
      | a request of an unknown team    | 404    | unknown_team      | entry     |
      | a patch of a stale base         | 409    | config_conflict   | scheduler |
      | a patch with an unknown field   | 422    | config_invalid    | scheduler |
      | a call to an unknown path       | 400    | malformed         | entry     |
      | a call with an unknown method   | 400    | malformed         | entry     |
