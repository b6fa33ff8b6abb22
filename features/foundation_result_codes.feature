Feature: Result codes and the event log
  Code numbers are permanent; an event is one line of key=value pairs.

  Scenario: Codes are unique and well formed
    Then codes: every number is unique and has four digits
    And codes: every SQLSTATE has five characters
    And codes: every code with SQLSTATE 40003 has the outcome unknown

  Scenario: The page of codes is up to date
    Then codes: docs/RESULT_CODES.md matches the code table

  Scenario Outline: An event is one line whatever its values hold
    When codes: an event with the value <value> is formatted
    Then codes: its line is event=tested value=<written>

    Examples:
      | value           | written            |
      | plain           | plain              |
      | 12.50000000     | 12.5               |
      | two words       | "two words"        |
      | a "quote"       | "a \\"quote\\""    |
      | two\nlines      | "two\\nlines"      |
      | back\\slash     | "back\\\\slash"    |
      | carriage\rreturn | "carriage\\rreturn" |
      | event=forged    | "event=forged"     |
      | two\u2028lines  | "two\\u2028lines"  |
