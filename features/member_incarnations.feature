Feature: A member that restarts under its identity is a new incarnation
  A member may restart under its identity with an empty log and with sequence numbers that start over; it reports its
  start time. Guards against telling incarnations apart by sequence numbers and arrival times alone. The leader then
  ignored a member that restarted elsewhere within 3 s, long after its withdrawal, or after it had drained and crashed.
  It did not notify proxies of a restart at the same address, so an empty primary was read and written. It also took an
  announcement of the former incarnation that arrived 3.6 s late for a restart.

  Scenario Outline: incarnation: <why>
    Given incarnation: members "a:primary b:replica c:replica" that report their start time
    When incarnation: the events are: <event>
    Then incarnation: the log records "<recorded>"

    Examples:
      | why                                           | event                                                                                       | recorded          |
      | elsewhere, immediately                        | b restarts elsewhere; 1 s later b announces number 1                                        | b of 2            |
      | at its address, otherwise unchanged           | b restarts; 1 s later b announces number 1                                                  | b of 2            |
      | long after it withdrew                        | b withdraws; b restarts; 120 s later b announces number 1                                   | b of 2            |
      | right after it withdrew                       | b withdraws; b restarts; 1 s later b announces number 1                                     | b of 2            |
      | after it drained and crashed                  | b drains; b restarts; 10 s later b announces number 1                                       | b of 2            |
      | a late announcement of the former incarnation | b restarts elsewhere; 1 s later b announces number 1; 3.6 s later b of 1 announces number 1 | -                 |
      | the same, with a high number                  | b restarts elsewhere; 1 s later b announces number 1; 1 s later b of 1 announces number 99  | -                 |
      | a late withdrawal of the former incarnation   | b restarts; 1 s later b announces number 1; b of 1 withdraws                                | -                 |
      | a low number of one incarnation, however late | 60 s later b announces number 0                                                             | -                 |
      | an announcement after its withdrawal          | b withdraws; 1 s later b announces number 9                                                 | -                 |
      | the same, long after                          | b withdraws; 120 s later b announces number 9                                               | -                 |
      | the same, at a new leader                     | b withdraws; another leads; 1 s later b announces number 9                                  | -                 |
      | a repeated withdrawal                         | b withdraws; b withdraws                                                                    | -                 |
      | the withdrawal of a member not recorded       | x of 1 withdraws                                                                            | x of 1 ended      |
      | at an address that it had lost                | d takes the address of b; b restarts; 1 s later b announces number 1                        | b of 2, without d |
      | a late announcement from an address it lost   | d takes the address of b; 1 s later b announces number 99                                   | -                 |

  Scenario: incarnation: without start times, a withdrawn member may return later
    Given incarnation: members "a:primary b:replica c:replica" that do not report their start time
    When incarnation: the events are: b withdraws; 120 s later b announces number 1
    Then incarnation: the log records "b of 0"

  Scenario Outline: incarnation: <who> reports no start time, where <who tells> reported theirs
    Given incarnation: members "a:primary b:replica c:replica", of which <who tells> report their start time
    When incarnation: the events are: 1 s later <who> of 0 announces number 9
    Then incarnation: the log records "<recorded>"

    Examples:
      | who tells | who | recorded |
      | a b c     | d   | -        |
      | a b c     | b   | -        |
      | a         | a   | -        |
      | a         | d   | d of 0   |
      | nobody    | d   | d of 0   |

  Scenario: incarnation: withdrawals and lost addresses survive a restart of all controllers
    Given incarnation: members "a:primary b:replica c:replica" that report their start time
    When incarnation: the events are: b withdraws; d takes the address of c; the log is read from a snapshot
    And incarnation: the events are: 1 s later b announces number 9
    Then incarnation: the log records "-"
    When incarnation: the events are: 1 s later c announces number 9
    Then incarnation: the log records "-"

  Scenario Outline: incarnation: a primary that restarts has lost its log: <why>
    Given incarnation: a group with primary a, replicas b and c, seen at 800, 500 and 400 by proxies p q r
    When incarnation: in the group, <event>
    And incarnation: <ms> ms pass in the group
    Then incarnation: promotion is <outcome>

    Examples:
      | why                                                                 | event                                                                      | ms   | outcome        |
      | it announces that it leads                                          | a restarts as primary                                                      | 300  | requested of b |
      | it announces that it does not                                       | a restarts as replica                                                      | 300  | requested of b |
      | so did the replica that was ahead                                   | b restarts as replica; a restarts as primary                               | 300  | requested of c |
      | a late report on that replica                                       | b restarts as replica; p q r see b of before at 900; a restarts as primary | 300  | requested of c |
      | the replica that was ahead has caught up                            | b restarts as replica; p q r see b at 900; a restarts as primary           | 300  | requested of b |
      | partitioned from the leader, it tells proxies that it does not lead | p q see that a does not lead                                               | 2000 | requested of b |
      | then it can't be reached any more                                   | p q r see that a does not lead; 300 ms pass; p q can't reach a             | 300  | requested of b |
      | it was unreachable for a moment before that                         | p q can't reach a; p q see that a does not lead                            | 1000 | not requested  |
      | a single proxy saw that                                             | p sees that a does not lead                                                | 3000 | not requested  |
      | for a moment only                                                   | p q see that a does not lead; 500 ms pass; p q see that a leads            | 3000 | not requested  |

  Scenario Outline: incarnation: a primary that is its group's only member restarts as <role>
    Given incarnation: a group with primary a alone, seen by proxies p q r
    When incarnation: in the group, a restarts as <role>
    And incarnation: 1000 ms pass in the group
    Then incarnation: promotion is <outcome>
    When incarnation: in the group, <then>
    And incarnation: 500 ms pass in the group
    Then incarnation: the recorded primary is a, of its current incarnation

    Examples:
      | role    | outcome        | then                                       |
      | primary | not requested  | nothing happens                            |
      | replica | requested of a | the authority answers; a announces primary |

  Scenario Outline: incarnation: a proxy uses no data of a primary that restarted empty: <consistency>, it <says>, <notified>
  Guards against reads and writes at a restarted, empty primary until the proxy learns of the change of primary. "READ x"
  was answered with "- done" right after a write of 1, for as long as the member was partitioned from the controllers.
    Given incarnation: a proxy of a <consistency> database on primary a, replicas b and c
    When incarnation: a client writes 1 to x
    And incarnation: a restarts empty, <says>, and <notified>
    Then incarnation: reads of x and writes of y are not answered by the empty a
    And incarnation: within 600 ms the proxy reports that a cannot lead
    When incarnation: b leads, and the proxy is notified
    Then incarnation: the client reads 1 from x, and can write

    Examples:
      | consistency | says                 | notified                  |
      | primary     | says that it leads   | the proxy is notified     |
      | primary     | says that it leads   | the proxy is not notified |
      | primary     | says that it follows | the proxy is not notified |
      | session     | says that it leads   | the proxy is notified     |
      | session     | says that it leads   | the proxy is not notified |
      | bounded     | says that it leads   | the proxy is not notified |

  Scenario Outline: incarnation: a replica that restarted empty is read once it has caught up: <notified>
    Given incarnation: a proxy of a session database on primary a, replicas b and c
    When incarnation: a client writes 1 to x
    And incarnation: the client reads x at b
    And incarnation: b restarts empty, says that it follows, and <notified>
    Then incarnation: the client reads 1 from x, and can write

    Examples:
      | notified                  |
      | the proxy is notified     |
      | the proxy is not notified |

  Scenario: incarnation: a proxy keeps its connections to a member whose record changes without a restart
    Given incarnation: a proxy of a session database on primary a, replicas b and c
    When incarnation: a client writes 1 to x
    And incarnation: the proxy is notified that b drains
    Then incarnation: the connection to a is still the same
