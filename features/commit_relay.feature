Feature: What a proxy acknowledges and queries in a group whose commits wait for a replica
  A proxy's parts between a client and stand-in members on loopback.

  # A commit of a replaced primary was acknowledged after the choice of the next one had begun.
  Scenario Outline: commit relay: the answer to <statement> arrives after 300 ms; meanwhile <event>: <answer>
    Given commit relay: a proxy of a group whose commits wait for a replica
    And commit relay: a client that <begins>
    When commit relay: it sends "<statement>", and members answer after 300 ms
    And commit relay: after 100 ms <event>
    Then commit relay: it receives "<answer>" after <low> to <high> ms

    Examples:
      | begins                 | statement | event                                           | answer    | low | high |
      | has written before     | WRITE x 1 | nothing happens                                 | done I    | 250 | 600  |
      | has written before     | WRITE x 1 | a new term is granted                           | done I    | 250 | 600  |
      | has written before     | WRITE x 1 | a new term is granted, and b is recorded        | done I    | 250 | 600  |
      | has written before     | WRITE x 1 | the primary lease ends                          | INDOUBT I | 700 | 1200 |
      | has written before     | WRITE x 1 | the primary lease ends, and is renewed later    | done I    | 400 | 900  |
      | has written before     | WRITE x 1 | the lease had ended 400 ms ago, and b is recorded | INDOUBT I | 250 | 600  |
      | wrote in a transaction | COMMIT    | nothing happens                                 | done I    | 250 | 600  |
      | wrote in a transaction | COMMIT    | the lease had ended 400 ms ago, and b is recorded | INDOUBT I | 250 | 600  |

  # Without a lease a write ran, and then nobody could tell its client whether it is kept.
  Scenario: commit relay: a write that could not be acknowledged is not sent
    Given commit relay: a proxy of a group whose commits wait for a replica
    And commit relay: a client that has written before
    When commit relay: the primary lease ends
    And commit relay: it sends "WRITE x 1", and members answer after 0 ms
    Then commit relay: it receives "BUSY I" after 0 to 700 ms
    And commit relay: no member ran "WRITE x 1"

  Scenario: commit relay: where commits wait for no replica, an answer is relayed without a lease
    Given commit relay: a proxy of a group whose commits wait for no replica
    And commit relay: a client that has written before
    When commit relay: it sends "WRITE x 1", and members answer after 300 ms
    And commit relay: after 100 ms the primary lease ends
    Then commit relay: it receives "done I" after 250 to 600 ms

  # A replica stated what it had applied, not what it had received, and received more afterwards.
  Scenario Outline: commit relay: a query for positions, <state>
    Given commit relay: a proxy of a group whose commits wait for a replica
    And commit relay: 5 writes, which replicas apply 2000 ms after they have received them
    And commit relay: a new term is granted
    When commit relay, members: <state>
    And commit relay: positions of b and c are queried, to be held
    Then commit relay: <reported> stated position 5 within 600 ms
    And commit relay: <held> are held

    Examples:
      | state                                   | reported | held    |
      | nothing happens                         | b and c  | b and c |
      | b is down                               | c        | c       |
      | b is busy for the first 3 requests      | b and c  | b and c |
      | members do not know how to be held      | b and c  | none    |
      | all connections of the proxy are in use | b and c  | b and c |
      | the query is of an earlier grant        | none     | none    |
      | b is recorded as the primary            | b        | none    |

  # Replicas were released by the proxy's own check while no primary was recorded.
  Scenario: commit relay: replicas stay held as long as no primary is recorded
    Given commit relay: a proxy of a group whose commits wait for a replica
    And commit relay: a new term is granted
    And commit relay: positions of b and c are queried, to be held
    When commit relay: after 2500 ms nothing happens
    Then commit relay: b and c are held

  # A replica that was held stayed so when the primary remained the same: no commit was acknowledged any more.
  Scenario Outline: commit relay: a held replica receives again once <primary> is recorded
    Given commit relay: a proxy of a group whose commits wait for a replica
    And commit relay: a new term is granted
    And commit relay: positions of b and c are queried, to be held
    When commit relay: <primary> is recorded
    Then commit relay: no replica is held within 1000 ms
    When commit relay, members: b is held by a request that was carried out late
    Then commit relay: no replica is held within 4000 ms

    Examples:
      | primary      |
      | a            |
