Feature: Slow, mute, failing and flapping members get fewer reads
  Loads are replayed with the independent decisions of all home proxies in one process: seven home
  proxies, three members with 4 slots and a queue of 32 each, work of 12 ms, a network of 1 ms each
  way, 500 reads a second for 3 s (half of the capacity of three members). A read that fails or times
  out counts as lost; no read is retried.

  Scenario Outline: choice: <why>
    Given choice: seven home proxies before members a, b and c
    And choice: <fault>
    When choice: 500 reads a second come for 3 s
    Then choice: at most <lost> % of the reads are lost
    And choice: in the last second at most <share> % went to c
    And choice: <served> % of the reads were served within 100 ms

    Examples:
      | why                              | fault                              | lost | share | served |
      | all are well                     | nothing is wrong                   | 0    | 45    | 99     |
      | one is slow by 6.5               | c takes 78 ms                      | 0    | 12    | 97     |
      | one is mute for a third          | c answers two thirds of its reads  | 3    | 12    | 95     |
      | one fails half of its work       | c fails half of its reads at once  | 3    | 10    | 95     |
      | one breaks half of its work      | c breaks half of its reads         | 3    | 10    | 95     |
      | one flaps                        | c fails all reads every other 1.6 s | 3   | 45    | 95     |

  Scenario: choice: a flapping member regains trust more slowly each time
    Given choice: the quality of a member
    When choice: 4 times it fails 5 reads and then gets none
    Then choice: the failing share halves within 500, 1000, 2000, 4000 ms

  Scenario Outline: choice: a tenant's reads go where its connections are: <why>
    Given choice: members a and b that answer in 14 ms, and connections that open in 16 ms
    And choice: <state>
    Then choice: a read of the tenant goes to <member>

    Examples:
      | why                         | state                                            | member |
      | an idle one is at a         | an idle connection of the tenant at a only       | a      |
      | an idle one is at b         | an idle connection of the tenant at b only       | b      |
      | it is not worth every wait  | an idle one at a only, and 12 statements there   | b      |

  Scenario Outline: choice: evidence besides a member's answers: <why>
    Given choice: members a and b that answer in 14 ms, and connections that open in 16 ms
    And choice: <state>
    Then choice: a read of the tenant goes to <member>

    Examples:
      | why                              | state                                            | member |
      | it told that its slots are taken | a told 200 ms ago that 12 are under way there    | b      |
      | what it told is old              | a told 900 ms ago that 12 are under way there    | a      |
      | it turned work away              | a turned work away, and answered another read    | b      |
      | that was long ago                | a turned work away 100 ms ago                    | a      |
      | slow a moment ago                | a took 90 ms for its answers up to 100 ms ago    | b      |
      | slow long ago                    | a took 90 ms up to 9000 ms ago, and a read is at b | a      |

  Scenario: choice: proxies with equal views do not all choose the same member
    Given choice: members a and b that answer in 14 ms, and connections that open in 16 ms
    Then choice: of 100 proxies with equal views of both members at least 20 choose each

  Scenario: choice: log lines tell when and why a member fails, and when it is trusted again
    Given choice: members a and b that answer in 14 ms, and connections that open in 16 ms
    When choice: a fails 4 reads, and its state is logged every 100 ms for 10 s
    Then choice: the log lines are "member-fails failed", "member-trusted failed"

  Scenario: choice: log lines tell when and why a member's limit is reduced
    Given choice: members a and b that answer in 14 ms, and connections that open in 16 ms
    When choice: a refuses 2 reads one after the other for lack of room, and serves 60 afterwards
    Then choice: the log lines are "member-held-back turned-away", "member-has-room turned-away"

  Scenario: choice: metrics show a group's limit, requests under way and retries
    Then choice: docs/METRICS.md lists each metric of members, and no other
