Feature: Replay of recorded traces
  The checkers keep reporting the same findings on traces recorded from fleets.

  Scenario Outline: replay: a trace has its stated outcome
    Given replay: the trace "<trace>"
    Then replay: it holds at least <operations> operations
    And replay: exactly these checkers find something: "<found>"

    Examples:
      | trace             | operations | found                                |
      | sound             | 200        |                                      |
      | kill-primary      | 150        |                                      |
      | malformed-notice  | 15         | answered                             |
      | random-member     | 150        | read-your-writes                     |
      | lose-acknowledged | 200        | read-your-writes acknowledged-writes |

  Scenario: replay: a trace written and read again stays the same
    Given replay: the trace "kill-primary"
    When replay: it is written and read again
    Then replay: both histories are equal
