Feature: Reads and lagging replicas
  Times are milliseconds. The primary commits every 20 ms, and reads require its position of 300 ms ago.

  Scenario: lag: concurrent reads count as one observation of the lag
    Given lag: a replica that has been behind for 0 ms
    When lag: 6 reads of a position 40 ms old are answered "behind" at once
    Then lag: it is asked again in 20 ms

  Scenario Outline: lag: <why>
    Given lag: a replica that has been behind for <behind> ms
    When lag: 1 reads of a position <age> ms old are answered "behind" at once
    Then lag: it is asked again in <again> ms

    Examples:
      | why                                   | behind | age  | again |
      | a commit of a moment ago              | 0      | 10   | 20    |
      | it takes about as long again          | 0      | 200  | 100   |
      | it stands still                       | 1000   | 300  | 500   |
      | it stands still for long              | 9000   | 300  | 1000  |

  Scenario: lag: a replica is not asked before it can have the position
    Given lag: a replica that now reports a lag of 800 ms, and lacked a commit 100 ms ago
    Then lag: a position 300 ms old is expected there in 500 ms
    And lag: a position 700 ms old is expected there in 100 ms
    And lag: a position 900 ms old is expected there now

  Scenario: lag: reads of a recent position avoid a replica with a larger usual lag
    Given lag: a replica that is 60 ms late from 0 ms to 6000 ms
    When lag: 50 reads a second require the primary's position 20 ms before, for 6 s
    Then lag: at most 14 of them are refused by the replica

  Scenario: lag: the estimate falls when the replica has caught up
    Given lag: a replica that now reports a lag of 800 ms, and lacked a commit 100 ms ago
    When lag: it reports the primary's own position repeatedly
    Then lag: a position 0 ms old is expected there now

  Scenario: lag: a single read tests the replica for all
    Given lag: a replica that has been behind for 0 ms
    When lag: 1 reads of a position 40 ms old are answered "behind" at once
    And lag: it is asked again 20 ms later, by a read that may take 60 ms
    Then lag: other reads avoid it for 60 ms

  Scenario Outline: lag: a read waits for a replica or goes to the primary: <why>
    Given lag: replica b reaches the position in <b> ms and c in <c> ms, answers take 14 ms
    When lag: the read would cost <instead> ms at the primary
    Then lag: it <does>

    Examples:
      | why                          | b   | c   | instead | does                   |
      | the primary is quick         | 40  | 300 | 20      | goes to the primary    |
      | the primary is crowded       | 40  | 300 | 120     | waits 40 ms for b      |
      | the other one is sooner      | 300 | 60  | 120     | waits 60 ms for c      |
      | none is sooner               | 300 | 300 | 120     | goes to the primary    |

  Scenario: lag: few reads are refused by a replica that lags for 4 s
    Given lag: a replica that is 2000 ms late from 0 ms to 4000 ms
    When lag: 50 reads a second require the primary's position 300 ms before, for 6 s
    Then lag: at most 14 of them are refused by the replica
    And lag: the replica serves reads again within 1100 ms after it caught up
