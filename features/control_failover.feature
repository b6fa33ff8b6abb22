Feature: Failover of primaries by the leading controller
  The leader grants a higher term when a majority of a group's home proxies reports the primary as failed.

  Scenario Outline: failover: which reports cause a failover
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "<silent>" fall silent
    And failover: "<gone>" report m1 as <health>
    And failover: <ms> ms pass
    Then failover: the recorded term is <term>

    Examples:
      | gone  | health      | silent | ms   | term |
      | a     | unreachable |        | 3000 | 5    |
      | a b   | unreachable |        | 50   | 5    |
      | a b   | unreachable |        | 200  | 6    |
      | a b c | unreachable |        | 200  | 6    |
      | a b c | saturated   |        | 3000 | 5    |
      | a b   | a replica   |        | 1000 | 5    |
      | a b   | a replica   |        | 1400 | 6    |
      | a     | a replica   |        | 3000 | 5    |
      | a     | unreachable | b c    | 500  | 5    |
      | a     | unreachable | b c    | 1500 | 6    |
      | a     | unreachable | c      | 3000 | 5    |
      | a b   | unreachable | c      | 200  | 6    |

  Scenario Outline: failover: a proxy that reaches no majority of the members has no vote, rule <rule>
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    And failover: the rule on blind proxies is <rule>
    When failover: "<blind>" report m2 as unreachable
    And failover: "<blind>" report m3 as unreachable
    And failover: "<gone>" report m1 as unreachable
    And failover: <ms> ms pass
    Then failover: the recorded term is <term>

    Examples:
      | rule | blind | gone  | ms   | term |
      | on   | a b c | a b c | 3000 | 5    |
      | off  | a b c | a b c | 200  | 6    |
      | on   | a b   | a b   | 3000 | 5    |
      | on   | a     | a b   | 3000 | 5    |
      | on   | a     | a b c | 200  | 6    |
      | on   | a b   | a b c | 800  | 5    |
      | on   | a b   | a b c | 1500 | 6    |
      | on   | a     | b c   | 200  | 6    |

  Scenario Outline: failover: after <n> failovers in a row a suspicion must last <ms> ms
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: <n> failovers follow each other
    And failover: <calm> ms pass
    And failover: "a b c" stop reaching the primary
    And failover: <ms> ms pass
    Then failover: the recorded term is <term>

    Examples:
      | n | calm  | ms   | term |
      | 0 | 0     | 200  | 6    |
      | 1 | 0     | 200  | 7    |
      | 2 | 0     | 150  | 7    |
      | 2 | 0     | 300  | 8    |
      | 4 | 0     | 700  | 9    |
      | 4 | 0     | 1000 | 10   |
      | 4 | 21000 | 200  | 10   |

  Scenario: failover: a suspicion that ends in time has no effect
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "a b c" report m1 as unreachable
    And failover: 50 ms pass
    And failover: "b c" report m1 as reachable
    And failover: 3000 ms pass
    Then failover: the recorded term is 5

  Scenario: failover: a complete failover
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "a b" report m1 as unreachable
    And failover: 200 ms pass
    Then failover: one proxy has an order for term 6
    When failover: the ordered proxy answers that m2 is the primary
    Then failover: m2 is the primary under term 6

  Scenario Outline: failover: which proxy gets the promotion order
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "<cut>" reach no member but m1
    And failover: "<silent>" fall silent
    And failover: "a b c" report m1 as unreachable
    And failover: 3000 ms pass without answer to orders
    Then failover: the first order went to one of "<executors>"

    Examples:
      | cut | silent | executors |
      |     |        | a b c     |
      | a   |        | b c       |
      | a b |        | c         |
      | a   | b      | c         |

  Scenario Outline: failover: a failed order is repeated under a higher term
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "a b c" report m1 as unreachable
    And failover: 200 ms pass
    And failover: the ordered proxy <fails>
    And failover: 4000 ms pass without answer to orders
    Then failover: the orders had increasing terms and no term was ordered twice
    And failover: the second order went to another proxy than the first

    Examples:
      | fails                 |
      | answers nothing       |
      | answers that it fails |
      | loses its link        |

  Scenario: failover: the timeout of each further order grows, up to a factor of four
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "a b c" report m1 as unreachable
    And failover: 40000 ms pass without answer to orders
    Then failover: the timeouts of the orders are 1400 2900 4400 5900 5900 ms
    And failover: no order is given while an earlier one may still be running

  Scenario: failover: reports from before a promotion do not undo it
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "a b" report m1 as unreachable
    And failover: 200 ms pass
    And failover: the ordered proxy answers that m2 is the primary
    And failover: "a b c" report m2 as a replica
    And failover: 600 ms pass
    And failover: "a b c" reports m2 as the primary of term 6
    And failover: 3000 ms pass
    Then failover: m2 is the primary under term 6

  Scenario: failover: a late answer to a replaced order has no effect
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "a b c" report m1 as unreachable
    And failover: 4000 ms pass without answer to orders
    And failover: the first ordered proxy answers that m2 is the primary of term 6
    Then failover: group "g" has no primary

  Scenario: failover: a promotion whose answer was lost is detected from reports
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "a b c" report m1 as unreachable
    And failover: 200 ms pass
    And failover: "c" reports m3 as the primary of term 6
    Then failover: m3 is the primary under term 6

  Scenario: failover: no higher term is granted while a primary is being recorded
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "a b c" report m1 as unreachable
    And failover: 200 ms pass
    And failover: the ordered proxy answers that it fails
    And failover: the log takes 600 ms from now on
    And failover: "c" reports m3 as the primary of term 6
    And failover: 3000 ms pass
    Then failover: m3 is the primary under term 6

  Scenario: failover: a lost proposal of a primary is repeated
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "a b c" report m1 as unreachable
    And failover: 200 ms pass
    And failover: the next proposal is lost
    And failover: the ordered proxy answers that m2 is the primary
    And failover: "a" reports m2 as the primary of term 6
    And failover: 1500 ms pass
    Then failover: m2 is the primary under term 6

  Scenario: failover: the replaced primary is never preferred
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "a b" report m1 as unreachable
    And failover: "c" still sees m1 far ahead of the others
    And failover: 200 ms pass
    Then failover: the order does not prefer m1

  Scenario: failover: a zone of proxies fails together with a third of the primaries
    Given failover: 600 groups with primary m1, watched by 12 proxies
    When failover: the proxies of zone z0 are lost, and the others report m1 of each third group
    And failover: every order is answered within 200 ms
    Then failover: each third group has a new primary, and no other group has
    And failover: no event took the leader longer than 50 ms

  Scenario Outline: failover: a new leader continues a promotion of its predecessor
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "a b c" report m1 as unreachable
    And failover: 200 ms pass
    And failover: another controller becomes the leader and all proxies report again, <seen>
    And failover: 4000 ms pass <answers>
    Then failover: <result>

    Examples:
      | seen                        | answers                    | result                                                        |
      | m2 as the primary of term 6 | without answer to orders   | m2 is the primary under term 6                                |
      | no primary                  | and orders make m2 primary | m2 is the primary under term 7                                |
      | no primary                  | without answer to orders   | the orders had increasing terms and no term was ordered twice |

  Scenario: failover: a new leader does not wait long for an order that may never have been sent
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "a b c" report m1 as unreachable
    And failover: 200 ms pass
    And failover: another controller becomes the leader and all proxies report again, no primary
    And failover: 600 ms pass
    Then failover: the recorded term is 6
    When failover: 600 ms pass and orders make m2 primary
    Then failover: m2 is the primary under term 7

  Scenario Outline: failover: the recorded primary follows the one that a group exposes
    Given failover: group "g" in <mode> mode with nothing recorded, watched by "a b c"
    When failover: "<seers>" reports m2 as the primary of term <exposed>
    And failover: <ms> ms pass
    Then failover: <result>

    Examples:
      | mode        | seers | exposed | ms   | result                         |
      | external    | a b   | 9       | 100  | m2 is the primary under term 9 |
      | external    | a     | 9       | 9000 | the recorded term is 0         |
      | controllers | a b   | 9       | 100  | m2 is the primary under term 9 |
      | controllers | a     | 9       | 50   | the recorded term is 0         |

  Scenario: failover: in external mode the controllers promote nothing
    Given failover: group "g" in external mode with nothing recorded, watched by "a b c"
    When failover: "a b c" reports m2 as the primary of term 9
    And failover: "a b c" report m2 as unreachable
    And failover: 9000 ms pass
    Then failover: the recorded term is 9
    When failover: "a b" reports m3 as the primary of term 10
    Then failover: m3 is the primary under term 10

  Scenario: failover: a group without a primary gets one
    Given failover: group "g" in controllers mode with nothing recorded, watched by "a b c"
    When failover: "a b c" report m1 as a replica
    And failover: 1000 ms pass
    Then failover: the recorded term is 0
    When failover: 300 ms pass
    Then failover: one proxy has an order for term 6

  Scenario Outline: failover: a planned switchover pauses writes first
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: <cause>
    Then failover: home proxies are asked to pause writes under term 5
    When failover: "<paused>" say that writes have paused
    And failover: <ms> ms pass
    Then failover: the recorded term is <term>

    Examples:
      | cause                           | paused | ms   | term |
      | a switchover to m3 is confirmed | a b    | 1000 | 5    |
      | a switchover to m3 is confirmed | a b c  | 100  | 6    |
      | a switchover to m3 is confirmed |        | 2500 | 6    |
      | m1 is declared leaving          | a b c  | 100  | 6    |

  Scenario: failover: the order goes to a proxy that cannot reach the primary, not to one partitioned off with it
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: "b" report m1 as unreachable
    And failover: "c" report m1 as unreachable
    And failover: 200 ms pass
    Then failover: the first order went to one of "b c"
    When failover: the ordered proxy answers that it fails
    And failover: 400 ms pass
    Then failover: the second order went to another proxy than the first
    And failover: no order went to "a"

  Scenario: failover: a switchover promotes the requested member
    Given failover: group "g" with primary m1 under term 5, watched by "a b c"
    When failover: a switchover to m3 is confirmed
    And failover: "a b c" say that writes have paused
    And failover: 100 ms pass
    Then failover: the order prefers m3
    And failover: the order is for a planned switchover

  Scenario: failover: all primaries of a lost zone are replaced within the limits
    Given failover: 600 groups with primary m1, watched by 12 proxies
    When failover: all home proxies report m1 as unreachable at once
    Then failover: at most 256 promotions are under way, and at most 16 at one proxy
    When failover: every order is answered within 200 ms
    Then failover: all groups have a new primary within 3 s
    And failover: no event took the leader longer than 50 ms
