Feature: Operation limits of tenants across all proxies
  The leading controller grants operations to proxies; a proxy without a leader continues at its last share of
  the limit. The sum stays within the limit, and a tenant below its limit is not refused.

  Scenario Outline: operation limits: a bucket of <rate> a second and <burst>, with <each> requests every 100 ms
    Given operation limits: a tenant of <rate> a second and <burst>, and a leader since 10 s
    When operation limits: proxy p requests <each> operations every 100 ms for 10 s
    Then operation limits: in 5 s at most <most> ran, and <refused> were refused

    Examples:
      | rate | burst | each | most | refused |
      | 20   | 20    | 1    | 51   | none    |
      | 20   | 20    | 2    | 101  | none    |
      | 20   | 20    | 12   | 120  | some    |
      | 1    | 1     | 1    | 6    | some    |

  Scenario: operation limits: proxies share one limit
    Given operation limits: a tenant of 20 a second and 20, and a leader since 10 s
    When operation limits: proxies p q r request 3 operations every 100 ms for 10 s
    Then operation limits: in 5 s at most 120 ran, and some were refused

  Scenario: operation limits: a new leader counts what was granted before as spent
    Given operation limits: a tenant of 20 a second and 20, and a leader since 0 s
    When operation limits: proxy p requests 30 operations at once
    Then operation limits: 10 were granted, and the retry time of the rest is 1000 ms

  Scenario Outline: operation limits: leaders that follow one another every <gap> s, with proxies without a leader in between
    Given operation limits: a tenant of <rate> a second and <burst>, and a leader since 100 s
    When operation limits: <count> leaders follow, each for <gap> s and after 0.3 s without one, with 8 operations requested every 100 ms
    Then operation limits: in 5 s at most <most> ran, and some were refused
    And operation limits: at least <ran> ran

    Examples:
      | rate | burst | count | gap | most | ran |
      | 20   | 20    | 10    | 0.4 | 152  | 60  |
      | 20   | 20    | 8     | 1.0 | 152  | 120 |
      | 12   | 12    | 10    | 0.4 | 99   | 36  |
      | 2    | 2     | 10    | 0.4 | 33   | 6   |

  Scenario: operation limits: a new leader withholds the share of proxies that have not connected
    Given operation limits: a tenant of 20 a second and 20, and a leader since 0 s
    And operation limits: half of the proxies have connected to the leader
    When operation limits: proxies p request 5 operations every 100 ms for 10 s
    Then operation limits: in 5 s at most 60 ran, and some were refused

  Scenario Outline: operation limits: a limit that is <change> takes effect at once
    Given operation limits: a tenant of 20 a second and 20, and a leader since 10 s
    When operation limits: the limit is <change> to <rate> a second and <burst>
    And operation limits: proxy p requests 30 operations at once
    Then operation limits: <granted> were granted, and the retry time of the rest is <retry> ms

    Examples:
      | change  | rate | burst | granted | retry |
      | lowered | 4    | 4     | 4       | 5000  |
      | raised  | 40   | 40    | 20      | 250   |

  Scenario Outline: operation limits: proxies without a leader, <how>
    Given operation limits: a tenant of 20 a second and 20, and a leader since 10 s
    When operation limits: proxies p q r request 3 operations every 100 ms for 5 s
    And operation limits: proxies lose the leader, <how>, for 8 s
    And operation limits: proxies p q r request 3 operations every 100 ms for 5 s
    Then operation limits: in 5 s at most 152 ran, and some were refused
    And operation limits: proxies without the leader ran at least <ran>

    Examples:
      | how                          | ran |
      | a third is cut off           | 30  |
      | two thirds are cut off       | 60  |
      | all are cut off              | 90  |

  Scenario: operation limits: a proxy whose process ended is not charged any more
    Given operation limits: a tenant of 20 a second and 20, and a leader since 10 s
    When operation limits: proxies p q r request 3 operations every 100 ms for 5 s
    And operation limits: proxies q r have ended
    And operation limits: proxies p request 1 operations every 100 ms for 10 s
    Then operation limits: none of the last 100 was refused

  Scenario: operation limits: a proxy that lost the leader runs at most its recent rate
    Given operation limits: a proxy that was granted 10 a second for 4 s
    When operation limits: the leader stops answering, and 5 operations arrive every 100 ms for 5 s
    Then operation limits: between 20 and 60 ran

  Scenario: operation limits: granted operations that do not run are dropped after a second
    Given operation limits: a proxy that was granted 10 a second for 4 s
    When operation limits: 5 are granted ahead, and 1.1 s pass
    Then operation limits: no granted operation is left

  Scenario: operation limits: a client over its limit is refused at once with a retry time
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And operation limits: tenant one may run 5 a second and 5, and a leader grants operations
    When operation limits: a client with k1 writes 12 times
    Then operation limits: 5 to 8 are done, and the others are refused as not run with a retry time
    And operation limits: each refusal came within 200 ms
    And operation limits: no more ran than were done

  Scenario: operation limits: a transaction counts once and is refused as a whole
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And operation limits: tenant one may run 1 a second and 2, and a leader grants operations
    When tenants: a client opens db with k1 and gets "I"
    And tenants: it sends "BEGIN" and gets "done T"
    And tenants: it sends "WRITE x 1" and gets "done T"
    And tenants: it sends "WRITE x 2" and gets "done T"
    And tenants: it sends "COMMIT" and gets "done I"
    And tenants: it sends "WRITE x 3" and gets "done I"
    And tenants: it sends "BEGIN" and gets "done T"
    And tenants: it sends "WRITE x 4" and gets "BUSY E"
    And tenants: it sends "ROLLBACK" and gets "done I"

  Scenario: operation limits: an operation that did not run returns its token
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And operation limits: tenant one may run 0.1 a second and 2, and a leader grants operations
    And operation limits: members refuse 1000 statements
    When tenants: a client opens db with k1 and gets "I"
    And operation limits: it is refused 4 times
    And operation limits: members refuse 0 statements
    And tenants: it sends "WRITE x 1" and gets "done I"

  Scenario: operation limits: an operation whose outcome is unknown counts
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And operation limits: tenant one may run 0.1 a second and 1, and a leader grants operations
    And operation limits: members lose 1 answer
    When tenants: a client opens db with k1 and gets "I"
    And tenants: it sends "WRITE x 1" and gets "INDOUBT I"
    And tenants: it sends "WRITE x 2" and gets "BUSY I"

  Scenario: operation limits: tenants without a limit and public databases send no requests to the leader
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And operation limits: tenant one may run 1 a second and 1, and a leader grants operations
    When tenants: a client opens db with k2 and gets "I"
    And tenants: it sends "WRITE x 1" and gets "done I"
    And tenants: a client opens open with k1 and gets "I"
    And tenants: it sends "WRITE x 2" and gets "done I"
    And tenants: it sends "WRITE x 3" and gets "done I"
    Then operation limits: the leader was asked 0 times

  Scenario: operation limits: an unresponsive leader delays only the first operation
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And operation limits: tenant one may run 50 a second and 50, and a leader grants operations
    When operation limits: a client with k1 writes 12 times
    And operation limits: the leader answers nothing
    And operation limits: a client with k1 writes 6 times
    Then operation limits: 2 to 6 are done, and the others are refused as not run with a retry time
    And operation limits: all answers came within 1200 ms

  Scenario: operation limits: a proxy whose leases have run out runs nothing without the leader
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And operation limits: tenant one may run 50 a second and 50, and a leader grants operations
    When operation limits: a client with k1 writes 12 times
    And operation limits: the leader answers nothing, and the leases have run out
    And operation limits: a client with k1 writes 6 times
    Then operation limits: 0 to 0 are done, and the others are refused as not run with a retry time

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
