Feature: Members that announce themselves, and the change of their primary
  Changed announcements are recorded in the log, and late ones are ignored. No proxy reads at a promoted member before
  it leads.

  Scenario Outline: announced: <why>
    Given announced: members "a:primary b:replica c:replica" of a group have announced themselves
    When announced: <event>
    Then announced: the log records "<recorded>"

    Examples:
      | why                                  | event                                                                       | recorded             |
      | nothing new                          | b announces replica, number 2, after 1 s                                    | -                    |
      | it drains                            | b announces draining replica, number 2, after 1 s                           | b draining           |
      | it leads                             | b announces primary, number 2, after 1 s                                    | b primary            |
      | late: a lower number soon after      | b announces primary, number 0, after 1 s                                    | -                    |
      | restarted: a lower number after long | b announces primary, number 0, after 4 s                                    | b primary            |
      | draining is not taken back           | b drains, then announces replica                                            | -                    |
      | another member takes its address     | d announces replica at the address of b                                     | d replica, without b |
      | delayed until its address was taken  | d takes the address of b, then b announces primary, number 0                | -                    |
      | the same, with a high number         | d takes the address of b, then b announces primary, number 99               | -                    |
      | the same, before a new leader        | d takes the address of b, a new leader, then b announces primary, number 2  | -                    |
      | it restarted at another address      | d takes the address of b, then b announces primary from elsewhere, number 2 | b primary            |
      | it withdraws                         | b withdraws                                                                 | without b            |
      | an announcement after its withdrawal | b withdraws, then announces replica                                         | -                    |
      | an unknown member withdraws          | x withdraws                                                                 | -                    |

  Scenario Outline: authority: <why>
    Given authority: primary a, replicas b and c, connected proxies p q r
    When authority: <event>
    And authority: <ms> ms pass
    Then authority: promotion is <outcome>

    Examples: when a primary is suspected
      | why                      | event                         | ms   | outcome        |
      | all is well              | nothing happens               | 3000 | not requested  |
      | one proxy can't reach it | p reports a unreachable       | 1000 | not requested  |
      | most can't reach it      | p q report a unreachable      | 1000 | requested of b |
      | for a moment only        | p q report a unreachable      | 50   | not requested  |
      | it drains                | a announces draining primary  | 1000 | requested of b |
      | it withdraws             | a withdraws                   | 1000 | requested of b |
      | silent and unreachable   | a is silent, p can't reach it | 7000 | requested of b |
      | silent, but reached      | a is silent, p reaches it     | 7000 | not requested  |

    Examples: which member is promoted
      | why                          | event                                                  | ms   | outcome        |
      | the one with the longest log | c is ahead, p q report a unreachable                   | 1000 | requested of c |
      | not a draining one           | b announces draining replica, p q report a unreachable | 1000 | requested of c |
      | not an unreachable one       | p q report a and b unreachable                         | 1000 | requested of c |

    Examples: fencing
      | why                       | event                                        | ms   | outcome        |
      | a proxy has not confirmed | r does not confirm, p q report a unreachable | 1000 | not requested  |
      | its lease has expired     | r does not confirm, p q report a unreachable | 3000 | requested of b |

  Scenario: authority: a majority of home proxies decides, regardless of the number of other proxies
    Given authority: primary a, replicas b and c, connected proxies p q r
    And authority: 9 more connected proxies
    When authority: all but 1 home proxies report a unreachable
    And authority: 1000 ms pass
    Then authority: promotion is requested of b

  Scenario Outline: authority: few home proxies are live: <why>
    Given authority: primary a, replicas b and c, connected proxies p q r
    When authority: <event>
    And authority: <ms> ms pass
    Then authority: promotion is <outcome>

    Examples:
      | why                             | event                                   | ms   | outcome        |
      | one alone, which can't reach it | only p is live, p reports a unreachable | 3300 | not requested  |
      | the same for longer             | only p is live, p reports a unreachable | 6000 | requested of b |

  Scenario Outline: authority: a new leader waits for home proxies that are still connecting: <ms> ms
    Given authority: primary a, replicas b and c, connected proxies p q r
    When authority: another leader takes over, to which only p has connected
    And authority: p reports a unreachable
    And authority: <ms> ms pass
    Then authority: promotion is <outcome>

    Examples:
      | ms   | outcome        |
      | 3300 | not requested  |
      | 6000 | requested of b |

  Scenario Outline: authority: a leader with few live proxies replaces a primary later: <why>
    Given authority: primary a, replicas b and c, connected proxies p q r
    And authority: 9 more connected proxies
    And authority: home proxies are live for 1300 ms after a message, and the hold time with few live ones is 300 ms
    When authority: 1 home proxy and <others> others are live, and it reports a unreachable
    And authority: <ms> ms pass
    Then authority: promotion is <outcome>

    Examples:
      | why                        | others | ms   | outcome        |
      | most are live, too soon    | 6      | 1500 | not requested  |
      | most are live              | 6      | 2000 | requested of b |
      | few are live               | 3      | 3500 | not requested  |
      | few are live, after longer | 3      | 4500 | requested of b |

  Scenario: authority: proxies that are not home proxies have no vote
    Given authority: primary a, replicas b and c, connected proxies p q r
    And authority: 9 more connected proxies
    When authority: all proxies except home proxies report a unreachable
    And authority: 1000 ms pass
    Then authority: promotion is not requested

  Scenario: authority: a promoted member is recorded only once it leads
    Given authority: primary a, replicas b and c, connected proxies p q r
    When authority: p q report a unreachable
    And authority: 1000 ms pass
    And authority: the authority answers promoted
    Then authority: no primary is recorded
    When authority: b announces primary
    Then authority: the recorded primary is b

  Scenario: authority: a call without an answer is superseded by one with a higher fence
    Given authority: primary a, replicas b and c, connected proxies p q r
    When authority: p q report a unreachable
    And authority: 1000 ms pass
    And authority: the authority answers unknown
    And authority: 1000 ms pass
    Then authority: a second call has a higher fence

  Scenario: authority: a refusal sends the next call to another member
    Given authority: primary a, replicas b and c, connected proxies p q r
    When authority: p q report a unreachable
    And authority: 1000 ms pass
    And authority: the authority answers refused
    And authority: 1000 ms pass
    Then authority: promotion is requested of c

  Scenario: authority: the last announcement of a dead primary is ignored
    Given authority: primary a, replicas b and c, connected proxies p q r
    When authority: p q report a unreachable
    And authority: 1000 ms pass
    And authority: the authority answers promoted
    And authority: b announces primary
    And authority: 5000 ms pass
    Then authority: promotions were requested 1 times

  Scenario Outline: authority: a member that has not followed the last change of primary is promoted last: <event>
    Guards against promoting a former primary with the log of an older term. A primary was partitioned, and b replaced
    it in term 4. When b was suspected 2 s after the partition had healed, the former primary was promoted. Its log held
    lost commits, and lacked 13 acknowledged ones. It was preferred because positions were compared without their terms,
    37 against 22, and because one proxy could not reach the replica.

    Given authority: primary a, replicas b and c, connected proxies p q r
    When authority: p q report a unreachable
    And authority: 1000 ms pass
    And authority: the authority answers promoted
    And authority: b announces primary
    And authority: 1000 ms pass
    And authority: p q r see a in term 3 at 900
    And authority: p q r see c in term 4 at 20
    And authority: <event>
    And authority: p q report b unreachable
    And authority: 1000 ms pass
    Then authority: promotion is requested of <requested>

    Examples:
      | event                        | requested |
      | nothing happens              | c         |
      | a announces primary          | c         |
      | p reports c unreachable      | c         |
      | c withdraws                  | a         |
      | c announces draining replica | a         |
      | p q r see a in term 4 at 21  | a         |

  Scenario Outline: authority: a new primary is suspected for longer before it is replaced again: <why>
    Guards against replacing a healthy new primary after a partition. Home proxies open connections to it while it still
    counts those of the partitioned machines, and resets connections above its limit. The home proxies report it as
    unreachable for 0.1 to 0.4 s, up to four of seven at a time. On 8 of 114 days it was replaced after 0.1 s, although
    it led and answered.

    Given authority: primary a, replicas b and c, connected proxies p q r
    When authority: p q report a unreachable
    And authority: 1000 ms pass
    And authority: the authority answers promoted
    And authority: b announces primary
    And authority: <later> ms pass
    And authority: p q report b unreachable
    And authority: <suspected> ms pass
    And authority: p q see b again
    And authority: 1000 ms pass
    Then authority: promotions were requested <times> times

    Examples:
      | why                              | later | suspected | times |
      | it is reached again within 0.4 s | 2000  | 400       | 1     |
      | soon after it took over          | 200   | 400       | 1     |
      | it is reached no more            | 2000  | 900       | 2     |
      | it has led for long              | 25000 | 400       | 2     |

  Scenario: authority: the first primary of a group is replaced without the longer hold time
    Given authority: primary a, replicas b and c, connected proxies p q r
    When authority: p q report a unreachable
    And authority: 200 ms pass
    Then authority: promotion is requested of b

  Scenario: authority: a delayed promotion is followed
    Given authority: primary a, replicas b and c, connected proxies p q r
    When authority: 2000 ms pass
    And authority: c announces primary
    And authority: a announces replica
    And authority: 1000 ms pass
    Then authority: promotion is requested of c

  Scenario: authority: a new leader continues a promotion of its predecessor
    Given authority: primary a, replicas b and c, connected proxies p q r
    When authority: p q report a unreachable
    And authority: 1000 ms pass
    And authority: another leader takes over
    And authority: 4000 ms pass
    Then authority: a second call has a higher fence
