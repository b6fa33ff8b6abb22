Feature: Who is promoted in a group whose commits wait for replicas
  The leader's decisions and the proxies' rule on acknowledgements on virtual time; members are models. Position N means
  N commits received. docs/design/synchronous-promotion.md describes the rules.

  # Members were ranked by reports of unknown age: a replica that lagged was promoted, and acknowledged commits were lost.
  Scenario Outline: positions: the member that holds every acknowledged commit is promoted: <trouble>
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    And positions: c receives nothing
    And positions: 3 commits are acknowledged
    And positions: the proxies reported b at 1 and c at 2 long ago
    When positions event: <trouble>
    And positions event: 2000 ms pass
    Then positions: promotion is requested of b
    And positions: no acknowledged commit is lost by it

    Examples:
      | trouble                                         |
      | a crashes                                       |
      | a drains                                        |
      | the proxies do not reach a                      |
      | a crashes, and p and q do not reach b           |
      | a crashes, and another leader takes over twice  |
      | a crashes, and c drains                         |
      | a crashes, and a third replica joins that lacks all |

  Scenario: positions: without synchronous replicas no member is queried
    Given positions: primary a, replicas b and c, commits wait for 0 replicas
    When positions event: a crashes
    And positions event: 200 ms pass
    Then positions: a promotion is requested
    And positions: no member was queried

  # A member that lacked commits would be promoted when the one that holds them answers late.
  Scenario Outline: positions: a promotion waits for a replica without limit: <why>
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    And positions: c receives nothing
    And positions: 3 commits are acknowledged
    When positions event: <why>
    And positions event: 60000 ms pass
    Then positions: promotion is not requested
    And positions: the log says that a promotion lacks the log positions of b, or that of a
    When positions: the proxies reach b again
    And positions event: 2000 ms pass
    Then positions: promotion is requested of b
    And positions: no acknowledged commit is lost by it

    Examples:
      | why                                              |
      | a crashes, and no proxy reaches b                |
      | a crashes, and no proxy reaches b, and b drains  |

  # The answer to a commit was under way while the successor was being chosen, and was then relayed.
  Scenario Outline: positions: a commit whose answer arrives <ms> ms after the grant is <relayed>
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    And positions: c receives nothing
    When positions: a commit is sent whose answer arrives <ms> ms after the next grant
    And positions event: a drains
    And positions event: 3000 ms pass
    Then positions: that commit is <relayed>
    And positions: members were queried no sooner than 250 ms after the grant
    And positions: promotion is requested of b
    And positions: no acknowledged commit is lost by it

    Examples:
      | ms  | relayed     |
      | 100 | relayed     |
      | 200 | relayed     |
      | 300 | not relayed |
      | 600 | not relayed |

  Scenario: positions: a proxy that has not confirmed the grant delays the queries
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    When positions: r is cut off from the controllers
    And positions event: a crashes
    And positions event: 1000 ms pass
    Then positions: no member was queried
    When positions event: 2000 ms pass
    Then positions: a promotion is requested

  # A proxy that did not know of the change relayed the commits of a primary that still led, to members that cannot be held.
  Scenario: positions: a proxy that is cut off from the controllers acknowledges nothing of a replaced primary
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    And positions: members do not know how to stop receiving
    And positions: 3 commits are acknowledged
    And positions: b receives nothing
    When positions: r is cut off from the controllers
    And positions event: p and q do not reach a
    And positions event: 5000 ms pass
    And positions: a commit is sent by r
    Then positions: promotion is requested of b
    And positions: no acknowledged commit is lost by it

  # The replaced primary was never promoted again, although nobody else had its commits.
  Scenario: positions: a replaced primary that comes back leads again if a replica stays away
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    And positions: c receives nothing
    And positions: 3 commits are acknowledged
    When positions event: a crashes, and b crashes
    And positions event: 5000 ms pass
    Then positions: promotion is not requested
    When positions event: a comes back
    And positions event: 3000 ms pass
    Then positions: promotion is requested of a
    And positions: no acknowledged commit is lost by it
    And positions: a is recorded as the primary, and no replica is held

  # Held replicas could not receive what only a draining primary had, and the group kept no primary.
  Scenario: positions: replicas receive the rest from a draining primary while another one stays away
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    And positions: c receives nothing
    And positions: 3 commits are acknowledged
    When positions event: b crashes
    And positions event: a drains
    And positions event: 3000 ms pass
    Then positions: promotion is not requested
    When positions event: c receives again
    And positions event: 3000 ms pass
    Then positions: promotion is requested of c
    And positions: no acknowledged commit is lost by it

  # An answer to an earlier round of queries counted in a later one, for another term.
  Scenario: positions: an answer of an earlier round does not count in a later one
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    When positions event: a crashes
    And positions event: 1000 ms pass
    And positions: the authority answers unknown, and nobody reaches b and c
    And positions event: 2000 ms pass
    And positions: the reports of the first round arrive again
    And positions event: 2000 ms pass
    Then positions: promotions were requested 1 times

  # A member that restarted without its log was promoted for the position that it had stated before.
  Scenario Outline: positions: a replica that restarts empty <when> is not promoted
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    And positions: c receives nothing
    And positions: 3 commits are acknowledged
    When positions event: <events>
    And positions event: 10000 ms pass
    Then positions: promotion is not requested
    When positions event: a comes back
    And positions event: 3000 ms pass
    Then positions: promotion is requested of a
    And positions: no acknowledged commit is lost by it

    Examples:
      | when                      | events                                                                |
      | before the primary ends   | b restarts empty, and a crashes                                       |
      | while it is waited for    | a crashes, and no proxy reaches c, and 500 ms pass, and b restarts empty |

  # A primary that had restarted empty was recorded again, as the only other member was draining.
  Scenario: positions: a primary that restarts empty makes way for a draining replica
    Given positions: a primary and 1 replicas, commits wait for 1 replicas
    And positions: 3 commits are acknowledged
    When positions event: b drains, and a restarts empty as the primary
    And positions event: 3000 ms pass
    Then positions: promotion is requested of b
    And positions: no acknowledged commit is lost by it

  # A replica that left was forgotten, although an acknowledged commit was held by it and the primary alone.
  Scenario Outline: positions: a replica that <leaves> counts until the others hold what it held
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    And positions: c receives nothing
    And positions: 3 commits are acknowledged
    When positions event: <events>
    And positions event: a crashes
    And positions event: 5000 ms pass
    Then positions: <outcome>
    And positions: no acknowledged commit is lost by it

    Examples:
      | leaves                  | events                                                | outcome                       |
      | withdraws               | b withdraws                                           | promotion is not requested    |
      | withdraws               | b withdraws, and another leader takes over            | promotion is not requested    |
      | withdraws               | b withdraws, and c receives again, and 2000 ms pass   | promotion is requested of c   |
      | is silent for 31 s      | b crashes, and 31000 ms pass                          | promotion is not requested    |
      | is silent and comes back | b crashes, and 31000 ms pass, and b comes back, and 100 ms pass | promotion is requested of b |

  # A replica that was forgotten for its silence counted as gone for good although it came back with its log.
  Scenario: positions: a replica that comes back after the primary has ended counts again
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    And positions: c receives nothing
    And positions: 3 commits are acknowledged
    When positions event: b crashes, and 31000 ms pass, and a crashes
    And positions event: 5000 ms pass
    Then positions: promotion is not requested
    When positions event: b comes back
    And positions event: 3000 ms pass
    Then positions: promotion is requested of b
    And positions: no acknowledged commit is lost by it

  # The commits of earlier terms need not be on as many members as those of the present one.
  Scenario: positions: a member below the position of an earlier promotion is not promoted
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    And positions: c receives nothing
    And positions: 3 commits are acknowledged
    When positions event: a crashes
    And positions event: 1000 ms pass
    And positions event: a withdraws
    And positions: the call is carried out
    And positions event: b crashes
    And positions event: 10000 ms pass
    Then positions: promotions were requested 1 times
    And positions: the log says that a promotion lacks a member that has received 3.3
    When positions event: b comes back
    And positions event: 3000 ms pass
    Then positions: promotion is requested of b
    And positions: no acknowledged commit is lost by it

  # Commits acknowledged before the declaration changed could be on the primary alone.
  Scenario Outline: positions: commits begin to wait for a replica while the group serves, <state>
    Given positions: primary a, replicas b and c, commits wait for 0 replicas
    And positions: b receives nothing
    And positions: c receives nothing
    And positions: 3 commits are acknowledged
    When positions: commits wait for 1 replica from now on
    And positions event: <state>
    And positions event: a crashes
    And positions event: 5000 ms pass
    Then positions: <outcome>
    And positions: no acknowledged commit is lost by it

    Examples:
      | state                                    | outcome                     |
      | nobody has received what came before     | promotion is not requested  |
      | c receives again, and 2000 ms pass       | promotion is requested of c |

  Scenario: positions: a group whose commits wait for no replica any more promotes whom it reaches
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    When positions event: a crashes, and no proxy reaches b
    And positions event: 3000 ms pass
    Then positions: promotion is not requested
    When positions: commits wait for 0 replicas from now on
    And positions event: 500 ms pass
    Then positions: a promotion is requested

  Scenario Outline: positions: a primary and <replicas> replicas, commits wait for <required>, <down> down: <outcome>
    Given positions: a primary and <replicas> replicas, commits wait for <required> replicas
    And positions: 3 commits are acknowledged
    When positions event: <down> replicas crash, and the primary crashes
    And positions event: 5000 ms pass
    Then positions: <outcome>

    Examples:
      | replicas | required | down | outcome                    |
      | 1        | 1        | 0    | a promotion is requested   |
      | 1        | 1        | 1    | promotion is not requested |
      | 3        | 1        | 0    | a promotion is requested   |
      | 3        | 1        | 1    | promotion is not requested |
      | 3        | 2        | 1    | a promotion is requested   |
      | 3        | 2        | 2    | promotion is not requested |

  Scenario: positions: a primary whose other members are gone stays the primary
    Given positions: a primary and 1 replicas, commits wait for 1 replicas
    And positions: 3 commits are acknowledged
    When positions event: b withdraws, and a crashes
    And positions event: 3000 ms pass
    Then positions: promotion is not requested
    When positions event: a comes back
    Then positions: a is recorded as the primary, and no replica is held

  Scenario: positions: a refused candidate does not make way for one that lacks commits
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    And positions: c receives nothing
    And positions: 3 commits are acknowledged
    When positions event: a crashes
    And positions event: 1000 ms pass
    And positions: the authority answers refused
    And positions event: 5000 ms pass
    Then positions: promotion was requested of b alone, more than once

  Scenario: positions: proxies of the version before are not queried
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    And positions: p q r are of the version before
    When positions event: a crashes
    And positions event: 3000 ms pass
    Then positions: no member was queried
    And positions: promotion is not requested

  Scenario Outline: positions: random histories of faults, changes of members and of leaders: <kind>
    When positions: the <kind> histories of seeds <first> to <last> are played
    Then positions: no acknowledged commit was lost
    And positions: <end>

    Examples:
      | kind    | first | last | end                                |
      | any     | 1     | 25   | members were promoted              |
      | orderly | 101   | 125  | every group has a primary          |

  # A replica with an empty log named the newest term, seemed to hold the most and was promoted: acknowledged commits were lost.
  Scenario Outline: positions: a member without a commit holds nothing, whatever term it names: <term>
    Given positions: primary a, replicas b and c, commits wait for 1 replica
    And positions: c has an empty log, receives nothing and names term <term>
    And positions: 3 commits are acknowledged
    When positions event: a crashes
    And positions event: 2000 ms pass
    Then positions: promotion is requested of b
    And positions: no acknowledged commit is lost by it

    Examples:
      | term |
      | 1    |
      | 3    |
      | 9    |
