Feature: Write gaps in the failover experiment
  A gap is the longest time without a completed write in the clients' history.

  Scenario Outline: Histogram of gaps of <gaps> ms
    When gaps: a histogram of "<gaps>" ms is made
    Then gaps: the histogram is "<text>"

    Examples:
      | gaps              | text                              |
      | 400               | 0-0.5:1                           |
      | 749 750 1499 1500 | 0.5-0.75:1,0.75-1:1,1.25-1.5:1,1.5-2:1 |
      | 700 inf           | 0.5-0.75:1,endless:1              |

  Scenario: Gaps by kind of failure, and of all single-member failures
    Given gaps: writes every 50 ms for 100 s, except during these pauses
      | from_ms | to_ms |
      | 20000   | 20700 |
      | 50000   | 52400 |
      | 80000   | 80300 |
    And gaps: these events
      | at_ms | name         | kind   |
      | 20010 | kill         | kill   |
      | 50010 | cut          | region |
      | 80010 | planned-move | leave  |
    Then gaps: the gaps in ms are
      | kind   | gaps |
      | kill   | 700  |
      | region | 2400 |
      | leave  | 300  |
      | all    | 700  |
