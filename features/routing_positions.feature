Feature: Reads on replicas of a real group
  A session reads its own writes on any member that serves it.  Scenarios also run with a safeguard
  disabled, to show that they detect the fault.

  Background:
    Given back ends: proxy p1 with the shared members

  Scenario Outline: A session reads its own write, replicas lag by <lag_ms> ms, safeguard <safeguard>
    Given back ends: the replicas lag by <lag_ms> ms
    And back ends: the safeguard "replica position" is <safeguard>
    When back ends: 5 times a row is written and read back with its token
    Then back ends: the row was <outcome>

    Examples:
      | lag_ms | safeguard | outcome            |
      | 0      | on        | seen each time     |
      | 300    | on        | seen each time     |
      | 300    | off       | missed some time   |

  Scenario Outline: A session without a token reads its write with a barrier, safeguard <safeguard>
    Given back ends: the replicas lag by 300 ms
    And back ends: the safeguard "barrier" is <safeguard>
    When back ends: 3 times a row is written and read back with a barrier
    Then back ends: the row was <outcome>

    Examples:
      | safeguard | outcome          |
      | on        | seen each time   |
      | off       | missed some time |

  Scenario Outline: Data is no older than the staleness bound, safeguard <safeguard>
    Given back ends: the replicas lag by 5000 ms
    And back ends: the safeguard "staleness" is <safeguard>
    When back ends: a row older than 200 ms is read with a staleness bound of 200 ms
    Then back ends: the row was <outcome>

    Examples:
      | safeguard | outcome          |
      | on        | seen each time   |
      | off       | missed some time |

  Scenario: Reads leave the primary once the replicas have caught up
    Given back ends: the replicas lag by 0 ms
    When back ends: a row is written, and once the replicas have it 20 reads ask for it
    Then back ends: replicas served all of them

  Scenario: A read transaction stays on one replica
    When back ends: a read-only transaction of 4 statements runs
    Then back ends: one replica served all of them

  Scenario: A member that lost its data serves no read with a token
    Given back ends: proxy p1 with separate members
    When back ends: a row is written and read on replica c alone
    And back ends: member c loses its data and restarts, cut off from its primary
    Then back ends: a read with the token is not served by c, and sees the row
