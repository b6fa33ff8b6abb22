Feature: The whole path of a statement, from a client to members and back
  Runs against stand-in members that speak the platform's line protocol and record what they ran.

  Scenario Outline: statement path: <consistency> reads
    Given statement path: a <consistency> database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: 100 ms pass
    And statement path: the client asks "READ x" and is told "1 done I"
    Then statement path: "READ x" ran at <member>

    Examples:
      | consistency | member |
      | primary     | a      |
      | bounded     | b      |
      | session     | b      |

  Scenario Outline: statement path: a replica that lags, <consistency>
    Given statement path: a <consistency> database on primary a and replicas b c, the proxy beside b
    And statement path: replicas lag by 400 ms
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: the client asks "READ x" and is told "<row> done I"
    Then statement path: "READ x" ran at <member>

    Examples: a session sees its own work
      | consistency | row | member |
      | session     | 1   | a      |
      | primary     | 1   | a      |

  Scenario: statement path: bounded reads miss nothing older than the bound
    Given statement path: a bounded database on primary a and replicas b c, the proxy beside b
    And statement path: the staleness bound is 300 ms, and replicas lag by 900 ms
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: 400 ms pass
    And statement path: another client asks "READ x" and is told "1 done I"

  Scenario: statement path: without the lease a read needs proof of the primary
    Given statement path: a primary database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: 100 ms pass
    And statement path: the lease has run out, and b leads without the proxy knowing
    And statement path: the client asks "READ x" and is told "1 done I"
    Then statement path: "READ x" ran at b

  Scenario: statement path: without the lease and without a primary
    Given statement path: a primary database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: the lease has run out, and nobody leads
    And statement path: the client asks "READ x" and is told "LAGGING I"
    Then statement path: "READ x" ran nowhere

  Scenario Outline: statement path: a proxy that has lost the controllers sends refused clients elsewhere
    Given statement path: a primary database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: 100 ms pass
    And statement path: <event>
    And statement path: the client asks "READ x" and is told "<told>"
    Then statement path: the client's session is <session>

    Examples:
      | event                                  | told      | session |
      | the lease has run out, and nobody leads | LAGGING I | closed  |
      | the lease has run out                  | 1 done I  | open    |
      | all members are busy                   | BUSY I    | open    |

  Scenario: statement path: a transaction is ended before its client is sent elsewhere
    Given statement path: a primary database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "BEGIN" and is told "done T"
    And statement path: the lease has run out, and nobody leads
    And statement path: the client asks "READ x" and is told "ABORTED E"
    And statement path: the client asks "ROLLBACK" and is told "done I"
    Then statement path: the client's session is closed

  Scenario: statement path: reads of a proxy that has just started don't wait for a slow primary
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: the lease is for 2 connections
    And statement path: another proxy has written 7 to x
    And statement path: a takes 300 ms for a read
    When statement path: 8 clients read at once
    Then statement path: all are told "7 done I"
    And statement path: at least 5 of them were served by replicas
    And statement path: a was queried for its position 1 times

  Scenario: statement path: an answer that a member gave before its promotion proves no position of the primary
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: 100 ms pass
    And statement path: the client asks "READ x" and is told "1 done I"
    And statement path: all members recently answered within 300 ms
    And statement path: answers of b are delayed by 300 ms
    And statement path: b begins to lead while another client's "READ y" runs there, and the proxy knows
    Then statement path: "READ y" ran at b
    And statement path: no position of the primary is known

  Scenario: statement path: reads avoid a silent replica until it answers again
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: 100 ms pass
    And statement path: b turns silent
    And statement path: the client asks "READ x" and is told "1 done I"
    And statement path: the members are monitored for 1300 ms
    And statement path: the client asks "READ x" and is told "1 done I"
    Then statement path: that took less than 200 ms
    When statement path: b answers again
    And statement path: the members are monitored for 1000 ms
    And statement path: the client asks "READ x" and is told "1 done I"
    Then statement path: "READ x" ran at b

  Scenario: statement path: a primary that answers no attempt to connect is detected
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: attempts to connect to a hang
    When statement path: the client asks "WRITE x 1" and is told "BUSY I"
    And statement path: the members are monitored for 1300 ms
    Then statement path: a counts as unreachable

  Scenario: statement path: a connection that opens slowly serves the next request
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: attempts to connect to a take 550 ms, and may take 3000 ms
    And statement path: statements have a timeout of 400 ms
    When statement path: the client asks "WRITE x 1" and is told "BUSY I"
    And statement path: 300 ms pass
    And statement path: the client asks "WRITE x 2" and is told "done I"
    Then statement path: that took less than 100 ms
    And statement path: a has 1 connections

  Scenario: statement path: reads don't queue for the connections of a member that hangs
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: the lease is for 2 connections
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: 100 ms pass
    And statement path: b turns silent
    And statement path: 2 other clients begin to read
    And statement path: 150 ms pass
    And statement path: the client asks "READ x" and is told "1 done I"
    Then statement path: that took less than 100 ms

  Scenario: statement path: a read goes elsewhere when the nearest member's connections stay in use
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: the lease is for 2 connections
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: 100 ms pass
    And statement path: 2 clients hold read transactions open at b
    And statement path: the client asks "READ x" and is told "1 done I"
    Then statement path: that took less than 200 ms

  Scenario Outline: statement path: a primary <away> ms away serves the first statements after a start: "<first>", "<second>"
    Given statement path: a primary database on primary a and replicas b c, the proxy beside b
    And statement path: a is <away> ms away, one way
    And statement path: a takes 30 ms for a read
    And statement path: statements have a timeout of 1000 ms, a target of 400 ms and 2 attempts
    When statement path: the client asks "<first>" and is told "<told first>"
    And statement path: the client asks "<second>" and is told "<told second>"
    And statement path: the client asks "<third>" and is told "<told third>"
    Then statement path: "<second>" ran 1 times

    Examples:
      | away | first     | told first | second    | told second | third    | told third |
      | 45   | READ x    | - done I   | READ y    | - done I    | READ z   | - done I   |
      | 90   | READ x    | - done I   | READ y    | - done I    | READ z   | - done I   |
      | 45   | WRITE x 1 | done I     | READ x    | 1 done I    | READ y   | - done I   |
      | 90   | WRITE x 1 | done I     | WRITE x 2 | done I      | READ x   | 2 done I   |
      | 90   | BEGIN     | done T     | WRITE x 2 | done T      | COMMIT   | done I     |

  Scenario Outline: statement path: a read waits for the slow answer of a primary <away> ms away, <clients> clients at once
    Given statement path: a primary database on primary a and replicas b c, the proxy beside b
    And statement path: a is <away> ms away, one way
    And statement path: statements have a timeout of 1000 ms, a target of 400 ms and 2 attempts
    When statement path: the client asks "READ x" and is told "- done I"
    And statement path: a takes <work> ms for a read
    And statement path: <clients> clients read at once
    Then statement path: all are told "- done I"
    And statement path: "READ x" ran <runs> times

    Examples:
      | away | work | clients | runs |
      | 45   | 150  | 1       | 2    |
      | 90   | 100  | 1       | 2    |
      | 45   | 60   | 6       | 7    |

  Scenario: statement path: a read that is slow at one member is hedged at another
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: statements have a timeout of 1000 ms, a target of 400 ms and 2 attempts
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: 100 ms pass
    And statement path: the client asks "READ x" and is told "1 done I"
    And statement path: b takes 900 ms for a read
    And statement path: the client asks "READ x" and is told "1 done I"
    Then statement path: that took less than 400 ms
    And statement path: "READ x" ran 3 times
    And statement path: 1 read was hedged

  Scenario: statement path: a slow read that may run only once is not hedged
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: statements have a timeout of 1000 ms, a target of 400 ms and 1 attempts
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: 100 ms pass
    And statement path: the client asks "READ x" and is told "1 done I"
    And statement path: b takes 500 ms for a read
    And statement path: the client asks "READ x" and is told "1 done I"
    Then statement path: "READ x" ran 2 times

  Scenario Outline: statement path: a statement with too little time left is refused rather than sent: <asked>
    Given statement path: a primary database on primary a and replicas b c, the proxy beside b
    And statement path: a recently answered within 500 ms
    And statement path: a is busy 999 times
    When statement path: the client asks "<asked>" and is told "BUSY I"
    Then statement path: that took less than 500 ms
    And statement path: "<asked>" ran nowhere

    Examples:
      | asked     |
      | WRITE x 1 |
      | READ x    |

  Scenario: statement path: a silent primary is detected although all its connections are in use
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: the lease is for 1 connection
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: a turns silent
    And statement path: the client asks "WRITE x 2" and is told "TIMEOUT I"
    Then statement path: a counts as unreachable
    When statement path: the outage has lasted longer than usual
    And statement path: the client asks "WRITE x 3" and is told "BUSY I"
    Then statement path: that took less than 350 ms
    And statement path: "WRITE x 3" ran nowhere

  Scenario Outline: statement path: a proxy that paused for <still> ms, <after> ms after "<asked>", blames no member
  After a pause of the process all its timeouts have expired, and members seemed silent that had no chance to answer.
  A pause of 0.5 s at any moment between 20 and 180 ms after the first read had the read refused 0.4 s before its
  deadline: "BUSY LD3003 not-connected at a (try again in 1151 ms)".
    Given statement path: a primary database on primary a and replicas b c, the proxy beside b
    And statement path: a is 45 ms away, one way
    And statement path: statements have a timeout of 1500 ms, a target of 400 ms and 2 attempts
    And statement path: the members are monitored from now on
    When statement path: the process will pause for <still> ms, in <after> ms
    And statement path: the client asks "<asked>" and is told "<told>"
    Then statement path: "<asked>" ran 1 times
    And statement path: a was never reported unreachable

    Examples:
      | still | after | asked     | told     |
      | 500   | 60    | READ x    | - done I |
      | 500   | 120   | READ x    | - done I |
      | 500   | 120   | WRITE x 1 | done I   |
      | 600   | 20    | READ x    | - done I |

  Scenario Outline: statement path: a pause of <still> ms, <after> ms after a first read, is detected outside the sleep of a task
  Only pauses that began during the sleep of the monitoring task were detected. In any other pause the timeout of the
  first connection attempt expired, the member counted as silent, and the read got "BUSY I" with 0.9 s left.
    Given statement path: a primary database on primary a and replicas b c, the proxy beside b
    And statement path: a is 45 ms away, one way
    And statement path: statements have a timeout of 1500 ms, a target of 400 ms and 2 attempts
    When statement path: the process will pause for <still> ms, in <after> ms
    And statement path: the client asks "READ x" and is told "- done I"
    Then statement path: "READ x" ran 1 times

    Examples:
      | still | after |
      | 500   | 20    |
      | 500   | 60    |
      | 500   | 120   |
      | 500   | 170   |
      | 600   | 20    |
      | 600   | 60    |
      | 600   | 120   |
      | 600   | 170   |

  Scenario Outline: statement path: connections to a that went silent say nothing of its health, safeguard <safeguard>
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: the safeguard "examined on a new connection" is <safeguard>
    And statement path: the members are monitored from now on
    When statement path: 3 clients write at once
    And statement path: a has 2 connections
    And statement path: all open connections to a go silent
    And statement path: the client asks "WRITE x 2" and is told "TIMEOUT I"
    Then statement path: a was reported <health>
    When statement path: the client asks "WRITE x 3" and is told "done I"
    Then statement path: that took less than 100 ms

    Examples:
      | safeguard | health                            |
      | on        | reachable                         |
      | off       | reachable, unreachable, reachable |

  Scenario Outline: statement path: a write goes on as soon as a silent primary answers, after a pause of <pause> ms, <after> ms from the silence
  The proxy learns late that the primary works, as it was paused itself. A write that comes meanwhile is held, and was sent
  only when the next look at the primary was due, 100 ms later, though the primary had answered.
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: the members are monitored from now on
    When statement path: 3 clients write at once
    And statement path: a has 2 connections
    And statement path: all open connections to a go silent
    And statement path: the process will pause for <pause> ms, in <after> ms
    And statement path: the client asks "WRITE x 2" and is told "TIMEOUT I"
    Then statement path: a was reported reachable
    When statement path: the client asks "WRITE x 3" and is told "done I"
    Then statement path: that took less than 100 ms

    Examples:
      | pause | after |
      | 300   | 120   |
      | 300   | 180   |
      | 300   | 500   |
      | 450   | 120   |
      | 450   | 400   |
      | 450   | 500   |

  Scenario Outline: statement path: a statement on a connection that went silent: "<asked>"
    Given statement path: a primary database on primary a and replicas b c, the proxy beside b
    And statement path: the members are monitored from now on
    When statement path: the client asks "<first>" and is told "<told first>"
    And statement path: all open connections to a go silent
    And statement path: the client asks "<asked>" and is told "<told>"
    Then statement path: a was reported reachable
    When statement path: the client asks "WRITE x 3" and is told "done I"
    Then statement path: that took less than 100 ms

    Examples:
      | first     | told first | asked     | told      |
      | READ x    | - done I   | READ x    | TIMEOUT I |
      | WRITE x 1 | done I     | WRITE x 2 | TIMEOUT I |

  Scenario Outline: statement path: a transaction whose connection went silent, then "<asked>"
    Given statement path: a primary database on primary a and replicas b c, the proxy beside b
    And statement path: the members are monitored from now on
    When statement path: the client asks "BEGIN" and is told "done T"
    And statement path: the client asks "WRITE x 1" and is told "done T"
    And statement path: all open connections to a go silent
    And statement path: the client asks "<asked>" and is told "<told>"
    Then statement path: a was reported reachable
    When statement path: another client asks "WRITE x 3" and is told "done I"

    Examples:
      | asked     | told      |
      | WRITE x 2 | ABORTED E |
      | COMMIT    | INDOUBT I |

  Scenario: statement path: all idle connections that went silent are replaced after the first
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: the lease is for 8 connections
    And statement path: the members are monitored from now on
    When statement path: 4 clients hold transactions open, each with a write
    And statement path: those clients roll back
    And statement path: a has 4 connections
    And statement path: all open connections to a go silent
    And statement path: the client asks "WRITE x 2" and is told "TIMEOUT I"
    And statement path: 3 clients write at once
    Then statement path: that took less than 100 ms
    And statement path: all are told "done I"

  Scenario: statement path: a read whose member's connections went silent is served by another member
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: the members are monitored from now on
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: 100 ms pass
    And statement path: the client asks "READ x" and is told "1 done I"
    And statement path: all open connections to b go silent
    And statement path: the client asks "READ x" and is told "1 done I"
    Then statement path: that took less than 400 ms
    And statement path: b counts as reachable

  Scenario: statement path: a write is not sent to a primary that seems to hang
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: a turns silent
    And statement path: another client begins to write
    And statement path: 150 ms pass
    And statement path: the client asks "WRITE x 2", and after 200 ms b leads, and the proxy knows
    Then statement path: it is told "done I" within 500 ms
    And statement path: "WRITE x 2" ran at b

  Scenario Outline: statement path: while the next primary is expected, "<asked>" is held for it
    Given statement path: a <consistency> database on primary a and replicas b c, the proxy beside b
    And statement path: <state>
    And statement path: no primary is recorded
    When statement path: the client asks "<asked>", and after 400 ms b leads, and the proxy knows
    Then statement path: it is told "<told>" within 700 ms
    And statement path: "<asked>" ran at b

    Examples:
      | consistency | state                    | asked     | told     |
      | session     | replicas lag by 0 ms     | WRITE x 2 | done I   |
      | primary     | replicas lag by 0 ms     | READ x    | - done I |
      | session     | replicas lag by 0 ms     | READ x    | - done I |

  Scenario: statement path: a refusal tells the client to retry when the next primary is expected
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: recent changes of primary took 4000 ms
    And statement path: no primary is recorded
    When statement path: the client asks "WRITE x 2" and is told "BUSY I"
    Then statement path: it is told to retry in 1500 to 4000 ms

  Scenario Outline: statement path: a full member, which <way>, serves its open connections
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: a accepts 1 connection and <way>
    When statement path: 6 clients write at once
    Then statement path: all are told "done I"
    And statement path: a counts as reachable

    Examples:
      | way               |
      | says so           |
      | resets any others |

  Scenario: statement path: half of a lease is used without a wait
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    When statement path: 2 clients hold transactions open, each with a write
    And statement path: the client asks "WRITE y 1" and is told "done I"
    Then statement path: that took at least 30 ms, and a has 3 connections
    When statement path: 1100 ms pass
    And statement path: pools close idle connections
    Then statement path: a has 2 connections

  Scenario: statement path: leases revoked while their connections are in use are returned afterwards
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "BEGIN" and is told "done T"
    And statement path: the client asks "READ x" and is told "- done T"
    And statement path: all leases are revoked
    Then statement path: no lease is returned yet
    When statement path: the client asks "COMMIT" and is told "done I"
    And statement path: the members are monitored for 600 ms
    Then statement path: leases of 0 connections are returned

  Scenario: statement path: without the lease, a primary that proves its role serves a read
    Given statement path: a primary database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: 100 ms pass
    And statement path: the lease has run out
    And statement path: the client asks "READ x" and is told "1 done I"

  Scenario Outline: statement path: <fault> for "<asked>"
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: 100 ms pass
    And statement path: <fault>
    And statement path: the client asks "<asked>" and is told "<told>"
    Then statement path: "<asked>" ran <times> times

    Examples: an answer is lost
      | fault                | asked     | told      | times |
      | a loses 1 answer     | WRITE x 2 | INDOUBT I | 1     |
      | b loses 1 answer     | READ x    | 1 done I  | 2     |

    Examples: no room
      | fault                | asked     | told      | times |
      | a is busy 2 times    | WRITE x 2 | done I    | 1     |
      | a is busy 999 times  | WRITE x 2 | BUSY I    | 0     |
      | b is busy 1 times    | READ x    | 1 done I  | 1     |

    Examples: a member is ill, and fails reads that others serve
      | fault                    | asked  | told     | times |
      | b fails 1 read           | READ x | 1 done I | 1     |
      | all members fail reads   | READ x | FAILED I | 0     |

    Examples: a read that may have run is not called one that did not
      | fault                                                           | asked  | told     | times |
      | b loses 1 answer and is busy from then on, the others are busy  | READ x | FAILED I | 1     |

    Examples: a member is gone
      | fault                | asked     | told      | times |
      | b crashes            | READ x    | 1 done I  | 1     |
      | a crashes            | WRITE x 2 | BUSY I    | 0     |
      | b turns silent       | READ x    | 1 done I  | 1     |
      | a turns silent       | WRITE x 2 | TIMEOUT I | 0     |
      | the address of b passes to another member | READ x | 1 done I | 1 |

    Examples: the primary is another one now
      | fault                            | asked     | told      | times |
      | b leads without the proxy knowing | WRITE x 2 | done I    | 1     |
      | no primary is recorded           | WRITE x 2 | BUSY I    | 0     |
      | b leads, and the proxy knows     | WRITE x 2 | done I    | 1     |
      | a drains                         | WRITE x 2 | BUSY I    | 0     |
      | b drains                         | READ x    | 1 done I  | 1     |

  Scenario: statement path: retries at other members stop when none has room
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement path: 100 ms pass
    And statement path: all members are busy
    And statement path: 40 clients ask "READ x", one after the other
    Then statement path: members turned away at least 40 and at most 75 statements

  Scenario Outline: statement path: a transaction, <fault>
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "BEGIN" and is told "done T"
    And statement path: the client asks "WRITE x 2" and is told "done T"
    And statement path: <fault>
    And statement path: the client asks "<asked>" and is told "<told>"
    And statement path: another client asks "READ x" and is told "<row> done I"

    Examples:
      | fault            | asked    | told      | row |
      | nothing happens  | COMMIT   | done I    | 2   |
      | nothing happens  | ROLLBACK | done I    | -   |
      | a loses 1 answer | READ x   | ABORTED E | -   |
      | a loses 1 answer | COMMIT   | INDOUBT I | 2   |

  Scenario: statement path: a transaction stays on its connection and sees its settings
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "SET tone low" and is told "done I"
    And statement path: the client asks "BEGIN" and is told "done T"
    And statement path: the client asks "WRITE x 2" and is told "done T"
    And statement path: the client asks "READ y" and is told "- done T"
    And statement path: the client asks "COMMIT" and is told "done I"
    Then statement path: all ran at a with "tone=low"

  Scenario: statement path: sessions that share a connection are isolated
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: the lease is for 1 connection
    When statement path: the client asks "SET tone low" and is told "done I"
    And statement path: the client asks "PREPARE s WRITE first" and is told "done I"
    And statement path: another client asks "PREPARE s READ second" and is told "done I"
    And statement path: the client asks "EXECUTE s x 1" and is told "done I"
    And statement path: another client asks "WRITE y 1" and is told "done I"
    And statement path: the client asks "EXECUTE s x 2" and is told "done I"
    Then statement path: the other client's work ran without settings, the client's with "tone=low"

  Scenario: statement path: the transaction of a client that disconnects is rolled back
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "BEGIN" and is told "done T"
    And statement path: the client asks "WRITE x 2" and is told "done T"
    And statement path: the client disconnects
    And statement path: 100 ms pass
    And statement path: another client asks "READ x" and is told "- done I"

  Scenario: statement path: a transaction that is idle for too long is rolled back
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: transactions may be idle for 200 ms
    When statement path: the client asks "BEGIN" and is told "done T"
    And statement path: the client asks "WRITE x 2" and is told "done T"
    And statement path: 500 ms pass
    And statement path: the client asks "COMMIT" and is told "ABORTED I"
    And statement path: another client asks "READ x" and is told "- done I"

  Scenario: statement path: pipelined statements are answered in order
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    When statement path: the client sends "QUERY 1 WRITE x 1\r\nQUERY 2 READ x\r\nQUERY 3 NONSENSE\r\nQUERY 4 READ x\r\n"
    Then statement path: it is told "done I", "1 done I", "MALFORMED I", "1 done I"

  Scenario Outline: statement path: a session at <database>
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    Then statement path: a session at "<database>" is told "<told>"

    Examples:
      | database | told |
      | db       | I    |
      | nothere  | NODB |

  Scenario: statement path: a database that is removed
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "READ x" and is told "- done I"
    And statement path: the database is removed
    And statement path: the client asks "READ x" and is told "NODB I"

  Scenario: statement path: a proxy without a control view does not deny a database
    Given statement path: a proxy without a control view
    Then statement path: a session at "db" is told "BUSY"

  Scenario: statement path: a statement without hope of a primary is refused at once
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: no primary is recorded
    And statement path: the outage has lasted longer than usual
    When statement path: the client asks "WRITE x 2" and is told "BUSY I"
    Then statement path: that took less than 350 ms

  Scenario: statement path: a proxy that is cut off holds no statements
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And statement path: no primary is recorded
    And statement path: the lease has run out
    When statement path: the client asks "WRITE x 2" and is told "BUSY I"
    Then statement path: that took less than 350 ms
