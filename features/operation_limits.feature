Feature: What a tenant runs over all proxies stays within its limit, and nobody below it is refused
  The leading controller counts; proxies ask it, and go on at their last rate while they can't.

  Scenario Outline: operation limits: a bucket of <rate> a second and <burst>, asked <each> times each 100 ms
    Given operation limits: a tenant of <rate> a second and <burst>, and a leader of 10 s
    When operation limits: proxy p asks for <each> each 100 ms for 10 s
    Then operation limits: in 5 s at most <most> ran, and <refused> were refused

    Examples:
      | rate | burst | each | most | refused |
      | 20   | 20    | 1    | 51   | none    |
      | 20   | 20    | 2    | 101  | none    |
      | 20   | 20    | 12   | 120  | some    |
      | 1    | 1     | 1    | 6    | some    |

  Scenario: operation limits: proxies share one limit
    Given operation limits: a tenant of 20 a second and 20, and a leader of 10 s
    When operation limits: proxies p q r ask for 3 each 100 ms for 10 s
    Then operation limits: in 5 s at most 120 ran, and some were refused

  Scenario: operation limits: a new leader counts what was granted before as spent
    Given operation limits: a tenant of 20 a second and 20, and a leader of 0 s
    When operation limits: proxy p asks for 30 at once
    Then operation limits: 10 were granted, and the rest is to come back in 1000 ms

  Scenario Outline: operation limits: leaders that follow one another each <gap> s, and proxies alone between them
    Given operation limits: a tenant of <rate> a second and <burst>, and a leader of 100 s
    When operation limits: <count> leaders follow, each for <gap> s and after 0.3 s without one, asked for 8 each 100 ms
    Then operation limits: in 5 s at most <most> ran, and some were refused
    And operation limits: at least <ran> ran

    Examples:
      | rate | burst | count | gap | most | ran |
      | 20   | 20    | 10    | 0.4 | 152  | 60  |
      | 20   | 20    | 8     | 1.0 | 152  | 120 |
      | 12   | 12    | 10    | 0.4 | 99   | 36  |
      | 2    | 2     | 10    | 0.4 | 33   | 6   |

  Scenario: operation limits: a new leader waits for proxies that it has not heard
    Given operation limits: a tenant of 20 a second and 20, and a leader of 0 s
    And operation limits: half of the proxies have come to it
    When operation limits: proxies p ask for 5 each 100 ms for 10 s
    Then operation limits: in 5 s at most 60 ran, and some were refused

  Scenario Outline: operation limits: a limit that is <change> binds at once
    Given operation limits: a tenant of 20 a second and 20, and a leader of 10 s
    When operation limits: the limit is <change> to <rate> a second and <burst>
    And operation limits: proxy p asks for 30 at once
    Then operation limits: <granted> were granted, and the rest is to come back in <retry> ms

    Examples:
      | change  | rate | burst | granted | retry |
      | lowered | 4    | 4     | 4       | 5000  |
      | raised  | 40   | 40    | 20      | 250   |

  Scenario Outline: operation limits: proxies that can't ask, <how>
    Given operation limits: a tenant of 20 a second and 20, and a leader of 10 s
    When operation limits: proxies p q r ask for 3 each 100 ms for 5 s
    And operation limits: they lose the leader, <how>, for 8 s
    And operation limits: proxies p q r ask for 3 each 100 ms for 5 s
    Then operation limits: in 5 s at most 152 ran, and some were refused
    And operation limits: those that can't ask ran at least <ran>

    Examples:
      | how                          | ran |
      | a third is cut off           | 30  |
      | two thirds are cut off       | 60  |
      | all are cut off              | 90  |

  Scenario: operation limits: a proxy whose process ended runs nothing by itself
    Given operation limits: a tenant of 20 a second and 20, and a leader of 10 s
    When operation limits: proxies p q r ask for 3 each 100 ms for 5 s
    And operation limits: proxies q r have ended
    And operation limits: proxies p ask for 1 each 100 ms for 10 s
    Then operation limits: none of the last 100 was refused

  Scenario: operation limits: a proxy that can't ask any more runs what it ran lately, and no more
    Given operation limits: a proxy that was granted 10 a second for 4 s
    When operation limits: the leader answers no more, and 5 want to run each 100 ms for 5 s
    Then operation limits: between 20 and 60 ran

  Scenario: operation limits: what was granted and not run is dropped after a second
    Given operation limits: a proxy that was granted 10 a second for 4 s
    When operation limits: 5 are granted ahead, and 1.1 s pass
    Then operation limits: none is in stock

  Scenario: operation limits: a client over its limit is refused at once, and told when to come back
    Given tenants: one holds k1 and two holds k2
    And operation limits: one may run 5 a second and 5, and the leader counts
    When operation limits: a client with k1 writes 12 times
    Then operation limits: 5 to 8 are done, and the others are refused as not run with a time to come back
    And operation limits: each refusal came within 200 ms
    And operation limits: no more ran than were done

  Scenario: operation limits: a transaction counts once, and fails as a whole
    Given tenants: one holds k1 and two holds k2
    And operation limits: one may run 1 a second and 2, and the leader counts
    When tenants: a client opens db with k1 and is told "I"
    And tenants: it asks "BEGIN" and is told "done T"
    And tenants: it asks "WRITE x 1" and is told "done T"
    And tenants: it asks "WRITE x 2" and is told "done T"
    And tenants: it asks "COMMIT" and is told "done I"
    And tenants: it asks "WRITE x 3" and is told "done I"
    And tenants: it asks "BEGIN" and is told "done T"
    And tenants: it asks "WRITE x 4" and is told "BUSY E"
    And tenants: it asks "ROLLBACK" and is told "done I"

  Scenario: operation limits: an operation that did not run gives its count back
    Given tenants: one holds k1 and two holds k2
    And operation limits: one may run 0.1 a second and 2, and the leader counts
    And operation limits: members refuse 1000 statements
    When tenants: a client opens db with k1 and is told "I"
    And operation limits: it is refused 4 times
    And operation limits: members refuse 0 statements
    And tenants: it asks "WRITE x 1" and is told "done I"

  Scenario: operation limits: an operation whose outcome is unknown counts
    Given tenants: one holds k1 and two holds k2
    And operation limits: one may run 0.1 a second and 1, and the leader counts
    And operation limits: members lose 1 answer
    When tenants: a client opens db with k1 and is told "I"
    And tenants: it asks "WRITE x 1" and is told "INDOUBT I"
    And tenants: it asks "WRITE x 2" and is told "BUSY I"

  Scenario: operation limits: tenants without a limit, and public databases, ask for nothing
    Given tenants: one holds k1 and two holds k2
    And operation limits: one may run 1 a second and 1, and the leader counts
    When tenants: a client opens db with k2 and is told "I"
    And tenants: it asks "WRITE x 1" and is told "done I"
    And tenants: a client opens open with k1 and is told "I"
    And tenants: it asks "WRITE x 2" and is told "done I"
    And tenants: it asks "WRITE x 3" and is told "done I"
    Then operation limits: the leader was asked 0 times

  Scenario: operation limits: a leader that answers nothing delays only the first operation
    Given tenants: one holds k1 and two holds k2
    And operation limits: one may run 50 a second and 50, and the leader counts
    When operation limits: a client with k1 writes 12 times
    And operation limits: the leader answers nothing
    And operation limits: a client with k1 writes 6 times
    Then operation limits: 2 to 6 are done, and the others are refused as not run with a time to come back
    And operation limits: all was told within 1200 ms

  Scenario: operation limits: a proxy whose leases have run out runs nothing without the leader
    Given tenants: one holds k1 and two holds k2
    And operation limits: one may run 50 a second and 50, and the leader counts
    When operation limits: a client with k1 writes 12 times
    And operation limits: the leader answers nothing, and the leases have run out
    And operation limits: a client with k1 writes 6 times
    Then operation limits: 0 to 0 are done, and the others are refused as not run with a time to come back

  Scenario Outline: operation limits: PostgreSQL sessions, <units>
    Given operation limits: a PostgreSQL proxy whose tenant may run 0.1 a second and 2
    When operation limits: units <units> are run
    Then operation limits: they end <ends>

    Examples: t1 is a unit of transaction 1 that leaves it open, c1 one that ends it, w any other; r is refused
      | units          | ends                                       |
      | w w w          | done done LD3017                           |
      | t1 t1 c1 w w   | done done done done LD3017                 |
      | r r r w w      | LD3003 LD3003 LD3003 done done             |
      | u u w          | LD3001 LD3001 LD3017                       |
