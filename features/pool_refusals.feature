Feature: Refusals, and writes that wait for a new primary
  A refused request did not run, and its refusal is fast and has a retry time.  Writes that waited
  for a new primary stay within its limits.

  Background:
    Given back ends: proxy p1 with the shared members

  Scenario Outline: A refused request did not run and has a retry time: <case>
    Given pool: <situation>
    When pool: <count> writes with a deadline of <deadline_ms> ms arrive at once
    Then pool: some were refused with <codes>, each in less than <within_ms> ms and with a retry time
    And pool: no refused write ran, and every answered write did

    Examples:
      | case                    | situation                                  | count | deadline_ms | codes                    | within_ms |
      | the queue is full       | p1 has one connection, and each statement takes 10 ms | 60 | 5000 | OVER_BUDGET             | 250       |
      | the time is too short   | p1 has one connection, each statement takes 30 ms and p1 knows it | 30 | 200 | OVER_BUDGET   | 100       |
      | no primary is recorded  | no primary is recorded, and p1 waits 100 ms for one | 3  | 5000  | NO_PRIMARY               | 400       |
      | this proxy has no lease | p1 has no lease, and waits 100 ms for one  | 3     | 5000        | NO_MEMBER                | 400       |
      | the primary is away     | member a refuses connections, and p1 waits 100 ms | 3 | 5000     | NO_PRIMARY               | 400       |

  Scenario: A new primary is not overloaded by the writes that waited for it
    Given pool: the group has 2 slots, member a would run 50 statements at once, each for 40 ms
    And pool: no primary is recorded, and p1 waits 5000 ms for one
    When pool: 40 statements for the primary wait, and then member a is recorded as primary
    Then pool: it is true that at most 2 ran at once
    And pool: each ran once, or was refused and did not run

  Scenario: The retry times of refused callers are spread
    Given pool: no primary is recorded, and p1 waits 100 ms for one
    When pool: 20 writes with a deadline of 5000 ms arrive at once
    Then pool: the retry times lie between 250 and 750 ms, and at least 10 differ
