Feature: Statements of a proxy without a lease run at home proxies of their group
  Connections are scarce: most proxies have none to a group and send its statements to a home
  proxy, over links that all their clients share.

  Scenario Outline: statement homes: <consistency> reads
    Given statement homes: a <consistency> database, home proxies h1 in z2
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: the client asks "READ x" and is told "1 done I"
    Then statement homes: h1 took 2 statements

    Examples:
      | consistency |
      | primary     |
      | session     |

  Scenario: statement homes: a session sees its own work through a replica that lags
    Given statement homes: a session database, home proxies h1 in z2
    And statement path: replicas lag by 400 ms
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: the client asks "READ x" and is told "1 done I"
    Then statement path: "READ x" ran at a

  Scenario: statement homes: settings and prepared statements are forwarded
    Given statement homes: a session database, home proxies h1 in z2
    When statement path: the client asks "SET tone low" and is told "done I"
    And statement path: the client asks "PREPARE s WRITE first" and is told "done I"
    And statement path: the client asks "EXECUTE s x 1" and is told "done I"
    And statement path: the client asks "BEGIN" and is told "done T"
    And statement path: the client asks "WRITE x 2" and is told "done T"
    And statement path: the client asks "READ y" and is told "- done T"
    And statement path: the client asks "COMMIT" and is told "done I"
    Then statement path: all ran at a with "tone=low"

  Scenario: statement homes: statements of several clients at once
    Given statement homes: a session database, home proxies h1 in z2
    When statement homes: 8 clients write at once
    Then statement homes: all are told "done I"

  Scenario Outline: statement homes: a transaction, then <end>
    Given statement homes: a session database, home proxies h1 in z2
    When statement path: the client asks "BEGIN" and is told "done T"
    And statement path: the client asks "WRITE x 2" and is told "done T"
    And statement homes: <end>
    Then statement homes: no connection is in use at h1
    When statement path: another client asks "READ x" and is told "<row> done I"

    Examples:
      | end                        | row |
      | the client asks "COMMIT"   | 2   |
      | the client asks "ROLLBACK" | -   |
      | the client leaves          | -   |
      | the links of h1 break      | -   |

  Scenario: statement homes: the nearest home proxy is chosen
    Given statement homes: a session database, home proxies h1 in z5 of r2, h2 in z3 of r1, h3 in z2 of r1
    When statement homes: links to all home proxies are open
    And statement path: the client asks "WRITE x 1" and is told "done I"
    Then statement homes: h3 took 1 statements
    When statement homes: h3 drains
    And statement path: the client asks "WRITE x 1" and is told "done I"
    Then statement homes: h2 took 1 statements

  Scenario Outline: statement homes: a home proxy that was told to stop <since> s ago, beside one that <other>
    Given statement homes: a session database, home proxies h1 in z2, h2 in z3
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement homes: links to all home proxies are open
    And statement homes: h1 was told to stop <since> s ago, and has 6 s
    And statement homes: h2 <state>
    And statement path: the client asks "WRITE x 2" and is told "<told>"
    And statement path: the client asks "WRITE x 3" and is told "<told>"
    Then statement homes: "WRITE x 2" ran at most 1 times
    And statement homes: h1 took <by_h1> statements

    Examples: the first statement is h1's; units that it refused are counted too
      | since | other           | state                                   | told   | by_h1 |
      | 1.0   | serves          | was told to stop 0.0 s ago, and has 6 s | done I | 3     |
      | 3.0   | serves          | was told to stop 0.0 s ago, and has 6 s | done I | 2     |
      | 3.0   | stops as well   | was told to stop 3.0 s ago, and has 6 s | done I | 4     |
      | 3.0   | holds no lease  | holds no lease                          | done I | 4     |

  Scenario Outline: statement homes: <fault> for "<asked>"
    Given statement homes: a session database, home proxies h1 in z2, h2 in z3
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement homes: links to all home proxies are open
    And statement homes: <fault>
    And statement path: the client asks "<asked>" and is told "<told>"
    Then statement homes: "<asked>" ran at most <times> times

    Examples:
      | fault                        | asked     | told      | times |
      | h1 drains                    | WRITE x 2 | done I    | 1     |
      | h1 holds no lease            | WRITE x 2 | done I    | 1     |
      | nobody holds a lease         | WRITE x 2 | BUSY I    | 0     |
      | h1 freezes                   | READ x    | 1 done I  | 1     |
      | h1 freezes, and all members are busy | READ x | FAILED I | 0  |
      | h1 freezes, and h2 holds no lease    | READ x | FAILED I | 0  |
      | h1 freezes                   | WRITE x 2 | INDOUBT I | 1     |
      | the primary turns silent     | WRITE x 2 | TIMEOUT I | 1     |

  Scenario Outline: statement homes: a home proxy that can't reach the primary, <consistency>, "<asked>"
    Given statement homes: a <consistency> database, home proxies h1 in z2, h2 in z3
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement homes: links to all home proxies are open
    And statement homes: h1 can't reach the primary
    And statement path: the lease has run out
    And statement path: the client asks "<asked>" and is told "<told>"
    Then statement path: "<asked>" ran at <member>
    And statement path: that took less than 150 ms

    Examples:
      | consistency | asked     | told     | member |
      | session     | WRITE x 2 | done I   | a      |
      | primary     | READ x    | 1 done I | c      |

  Scenario: statement homes: replicas lag, and a home proxy that can't reach the primary returns a read
    A home proxy that was cut off from its primary held reads that no replica could serve yet for 0.25 s and refused
    them ("no member is known", 380 times in 4 s), while other home proxies reached the primary.
    Given statement homes: a session database, home proxies h1 in z2, h2 in z3
    And statement path: replicas lag by 5000 ms
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement homes: links to all home proxies are open
    And statement homes: h1 can't reach the primary
    And statement path: the client asks "READ x" and is told "1 done I"
    Then statement path: "READ x" ran at a
    And statement path: that took less than 150 ms

  Scenario: statement homes: no home proxy can reach the primary
    Given statement homes: a session database, home proxies h1 in z2, h2 in z3
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement homes: links to all home proxies are open
    And statement homes: h1 can't reach the primary
    And statement homes: h2 can't reach the primary
    And statement path: the outage has lasted longer than usual
    And statement path: the client asks "WRITE x 2" and is told "BUSY I"
    Then statement path: "WRITE x 2" ran nowhere
    And statement path: that took less than 300 ms

  Scenario: statement homes: a home proxy holds a read for most of its time
    Given statement homes: a session database, home proxies h1 in z2
    And statement path: statements have a timeout of 3200 ms
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement homes: links to all home proxies are open
    And statement path: no primary is recorded
    And statement path: the client asks "READ x", and after 2400 ms b leads, and the proxy knows
    Then statement path: it is told "1 done I" within 3200 ms
    And statement homes: h1 took 2 statements

  Scenario: statement homes: a statement is held until a home proxy reaches the next primary
    Given statement homes: a session database, home proxies h1 in z2, h2 in z3
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement homes: links to all home proxies are open
    And statement homes: h1 can't reach the primary
    And statement homes: h2 can't reach the primary
    And statement path: the client asks "WRITE x 2", and after 400 ms b leads, and the proxy knows
    Then statement path: it is told "done I" within 700 ms
    And statement path: "WRITE x 2" ran at b

  Scenario Outline: statement homes: a home proxy <away> ms away before a primary as far away, "<asked>"
    Given statement homes: a primary database, home proxies h1 in z2
    And statement homes: h1 is <away> ms away, one way
    And statement path: a is <away> ms away, one way
    And statement path: a takes 30 ms for a read
    And statement path: statements have a timeout of 1000 ms, a target of 400 ms and 2 attempts
    When statement homes: links to all home proxies are open
    And statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: the client asks "<asked>" and is told "<told>"
    And statement path: the client asks "<asked>" and is told "<told>"
    Then statement path: "<asked>" ran 2 times

    Examples:
      | away | asked     | told     |
      | 45   | READ x    | 1 done I |
      | 90   | READ x    | 1 done I |
      | 90   | WRITE y 1 | done I   |

  Scenario Outline: statement homes: the round trip is left out of a home proxy's time: <limit> s, <travel> s
    Then statement homes: of <limit> s with a round trip of <travel> s a home proxy gets <home> s

    Examples:
      | limit | travel | home  |
      | 0.8   | 0.002  | 0.76  |
      | 0.48  | 0.045  | 0.435 |
      | 0.05  | 0.2    | 0.025 |

  Scenario Outline: statement homes: a home proxy that went silent is avoided, after <ms> ms
    Given statement homes: a session database, home proxies h1 in z2, h2 in z3
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement homes: links to all home proxies are open
    And statement homes: h1 freezes
    And statement homes: a client waits at h1 for <ms> ms
    And statement path: the client asks "WRITE x 2" and is told "done I"
    Then statement path: that took less than 200 ms

    Examples: while its statement waits, and after it was given up
      | ms  |
      | 750 |
      | 950 |

  Scenario: statement homes: a transaction whose home proxy is lost
    Given statement homes: a session database, home proxies h1 in z2, h2 in z3
    When statement path: the client asks "BEGIN" and is told "done T"
    And statement path: the client asks "WRITE x 2" and is told "done T"
    And statement homes: the links of h1 break
    And statement path: the client asks "READ y" and is told "ABORTED E"
    And statement path: the client asks "ROLLBACK" and is told "done I"
    And statement path: the client asks "WRITE x 3" and is told "done I"

  Scenario: statement homes: a commit whose home proxy is lost
    Given statement homes: a session database, home proxies h1 in z2
    When statement path: the client asks "BEGIN" and is told "done T"
    And statement path: the client asks "WRITE x 2" and is told "done T"
    And statement homes: h1 freezes
    And statement path: the client asks "COMMIT" and is told "INDOUBT I"

  Scenario: statement homes: a lease that is granted while a statement waits is used
    Given statement homes: a session database, home proxies h1 in z2
    And statement homes: nobody holds a lease
    When statement homes: the client asks "WRITE x 1", and 100 ms later the proxy gets a lease
    Then statement homes: all are told "done I"
    And statement homes: nobody holds a lease

  Scenario: statement homes: a statement whose link breaks releases its connection
    Given statement homes: a session database, home proxies h1 in z2
    And statement homes: the lease of h1 is for 1 connection
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: a loses 0 answer
    And statement homes: the primary turns silent
    And statement homes: a client writes and the links break
    And statement homes: the primary answers again
    And statement path: 700 ms pass
    And statement path: the client asks "WRITE x 3" and is told "done I"
    Then statement homes: no connection is in use at h1

  Scenario: statement homes: a statement that would wait long at one home proxy goes to another one
    Given statement homes: a session database, home proxies h1 in z2 of r1, h2 in z3 of r2
    And statement homes: h1 has one connection, held by a transaction, and 3 requests wait for it
    When statement path: the client asks "WRITE x 1" and is told "done I"
    Then statement homes: h2 took 1 statements
    When statement path: the client asks "WRITE x 2" and is told "done I"
    Then statement homes: h2 took 2 statements

  Scenario: statement homes: a statement that waits at a home proxy whose lease ends goes to another one at once
    Given statement homes: a session database, home proxies h1 in z2 of r1, h2 in z3 of r2
    And statement homes: h1 has one connection, held by a transaction, and 0 requests wait for it
    When statement homes: the lease of h1 ends 50 ms later, and the client asks "WRITE x 1"
    Then statement homes: it is told "done I"
    And statement homes: h2 took 1 statements
    And statement path: that took less than 150 ms

  Scenario: statement homes: when all home proxies are crowded the nearest one holds the statement
    Given statement homes: a session database, home proxies h1 in z2 of r1, h2 in z3 of r2
    And statement homes: h1 has one connection, held by a transaction, and 3 requests wait for it
    And statement homes: h2 has one connection, held by a transaction, and 3 requests wait for it
    When statement homes: the transactions end 100 ms later, and the client asks "WRITE x 1"
    Then statement homes: it is told "done I"

  Scenario: statement homes: a home proxy reports how long its units wait, and a share of them goes elsewhere
    Given statement homes: a session database, home proxies h1 in z2 of r1, h2 in z3 of r1
    And statement homes: links to all home proxies are open
    And statement homes: h1 has one connection, held by a transaction, and 3 requests wait for it
    And statement homes: h1 refuses no unit as crowded
    When statement path: the client asks "WRITE x 1" and is told "BUSY I"
    And statement homes: 12 clients write one after the other, 10 ms apart
    Then statement homes: h2 ran at least 4 of them, and h1 one before

  Scenario Outline: statement homes: the proxy's own lease ends while "<asked>" waits for a connection
    Given statement homes: a session database, home proxies h1 in z2
    And statement homes: links to all home proxies are open
    And statement homes: the proxy has a lease of 1 connection, which is held
    When statement path: the client asks "<before>" and is told "<ready>"
    And statement homes: the client asks "<asked>", and 100 ms later that lease ends
    Then statement homes: all are told "<told>"
    And statement homes: h1 took 1 statements

    Examples:
      | before     | ready  | asked     | told   |
      | SET tone x | done I | WRITE x 1 | done I |
      | BEGIN      | done T | WRITE x 1 | done T |
