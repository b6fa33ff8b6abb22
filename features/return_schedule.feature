Feature: Retry times of refused requests
  Requests refused together are retried at the rate at which slots become free, more urgent ones first, and
  none too soon or too late.

  Scenario Outline: <count> requests refused at once are retried as slots become free, from <ready> ms on
    Given returns: a member frees a slot every <gap> ms, the first in <ready> ms
    When returns: <count> requests of priority 2 are refused at once
    Then returns: none is retried before <ready> ms, and in any 50 ms at most as many as slots become free
    And returns: the last is retried within <last> ms

    Examples:
      | count | gap | ready | last |
      | 500   | 2   | 100   | 2200 |
      | 500   | 1   | 1300  | 2400 |
      | 50    | 10  | 50    | 1100 |

  Scenario: Retry times beyond the longest delay are spread, too
    Given returns: a member frees a slot every 10 ms, the first in 50 ms
    When returns: 1000 requests of priority 2 are refused at once
    Then returns: all are retried within 3000 ms, and less than 60 in any 50 ms

  Scenario: More urgent requests are retried sooner
    Given returns: a member frees a slot every 5 ms, the first in 100 ms
    When returns: 100 requests of priority 2 are refused at once
    And returns: 20 requests of priority 0 are refused at once
    Then returns: requests of priority 0 are retried within 300 ms
    When returns: 1 requests of priority 2 are refused at once
    Then returns: the last refused one is retried after 700 ms

  Scenario: Past retry times do not delay new ones
    Given returns: a member frees a slot every 5 ms, the first in 100 ms
    When returns: 100 requests of priority 2 are refused at once
    And returns: 5000 ms later 1 requests of priority 2 are refused
    Then returns: the last refused one is retried within 100 ms
