Feature: Transactions that rest give way to waiting requests
  A client that rests inside a transaction, or that vanished there without closing its connection, keeps a
  connection to a member. Such transactions must not hold all connections against other tenants or more urgent
  requests for as long as they like.

  Scenario Outline: resting transactions: those of a tenant at <database> hold all <lease> connections against <who>
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And resting transactions: the lease is for <lease> connections, and the members are monitored
    When resting transactions: <clients> clients with k1 begin transactions at <database> and rest
    Then resting transactions: 8 writes at <urgent> with <key>, one each 250 ms, are all served

    Examples:
      | database | clients | lease | urgent | key | who                                    |
      | batch    | 8       | 4     | db     | k2  | more urgent requests of another tenant |
      | batch    | 20      | 10    | db     | k2  | more urgent requests of another tenant |
      | db       | 8       | 4     | db     | k2  | equal requests of another tenant       |
      | batch    | 8       | 4     | db     | k1  | more urgent requests of the tenant     |
      | batch    | 1       | 1     | db     | k2  | more urgent requests of another tenant |

  Scenario: resting transactions: clients of the same tenant and database that rest for longer give way too
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And resting transactions: the lease is for 4 connections, and the members are monitored
    When resting transactions: 4 clients with k1 begin transactions at db and rest
    And statement path: 2100 ms pass
    Then resting transactions: 8 writes at db with k1, one each 250 ms, are all served

  Scenario: resting transactions: positions can be proved while transactions hold all connections
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And resting transactions: the lease is for 4 connections, and the members are monitored
    When resting transactions: 8 clients with k1 begin transactions at batch and rest
    And statement path: 1600 ms pass
    Then resting transactions: 8 reads at db with k2, one each 250 ms, are all served

  Scenario Outline: resting transactions: a client whose transaction gave way learns it when it asks "<asked>"
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And resting transactions: the lease is for 1 connection, and the members are monitored
    When resting transactions: 1 clients with k1 begin transactions at batch and rest
    Then resting transactions: 1 writes at db with k2, one each 250 ms, are all served
    And resting transactions: the client at rest asks "<asked>" and gets "<told>"
    And resting transactions: nothing that was written at rest is kept
    And resting transactions: the client at rest asks "ROLLBACK" and gets "<after>"
    And resting transactions: the client at rest asks "WRITE x 3" and gets "done I"

    Examples:
      | asked     | told      | after       |
      | COMMIT    | ABORTED I | MALFORMED I |
      | WRITE x 2 | ABORTED E | done I      |
      | ROLLBACK  | done I    | MALFORMED I |

  Scenario: resting transactions: a client whose transaction gave way does not end the next one on its connection
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And resting transactions: the lease is for 1 connection, and the members are monitored
    When resting transactions: 1 clients with k1 begin transactions at batch and rest
    And tenants: a client opens db with k1 and gets "I"
    And tenants: it sends "BEGIN" and gets "done T"
    And tenants: it sends "WRITE y 1" and gets "done T"
    And resting transactions: the client at rest leaves
    And tenants: it sends "COMMIT" and gets "done I"

  Scenario: resting transactions: while nobody waits a transaction rests for as long as its client likes
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And resting transactions: the lease is for 4 connections, and the members are monitored
    When resting transactions: 4 clients with k1 begin transactions at batch and rest
    And statement path: 3000 ms pass
    Then resting transactions: the client at rest asks "COMMIT" and gets "done I"

  Scenario: resting transactions: a tenant that holds no more than another keeps its transactions
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And resting transactions: the lease is for 4 connections, and the members are monitored
    When resting transactions: 2 clients with k1 begin transactions at db and rest
    And resting transactions: 2 clients with k2 begin transactions at db and rest
    And statement path: 400 ms pass
    And tenants: a client opens db with k2 and gets "I"
    And tenants: it sends "WRITE z 1" and gets "BUSY I"
    Then resting transactions: all clients at rest commit

  Scenario: resting transactions: a transaction at a home proxy gives way to requests there
    Given tenants: a proxy without a lease, tenant one holds key k1 and tenant two holds key k2
    And resting transactions: the members are monitored at the home proxies
    When resting transactions: 8 clients with k1 begin transactions at batch and rest
    Then resting transactions: 8 writes at db with k2, one each 250 ms, are all served
    And resting transactions: the client at rest asks "COMMIT" and gets "ABORTED I"
    And resting transactions: nothing that was written at rest is kept

  Scenario: resting transactions: a counter for operators shows that a transaction gave way
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And resting transactions: the lease is for 1 connection, and the members are monitored
    When resting transactions: 1 clients with k1 begin transactions at batch and rest
    Then resting transactions: 1 writes at db with k2, one each 250 ms, are all served
    And resting transactions: the pool of a counts 1 transaction that gave way

  Scenario Outline: resting transactions: <waiting> waits, one holds <one> connections and two <two>, one's transaction rested <rested> ms
    Given resting transactions: a transaction of tenant one with priority 1 that has rested for <rested> ms
    When resting transactions: a request of <waiting> waits while one holds <one> and two holds <two>
    Then resting transactions: the transaction <fate>

    Examples:
      | waiting                  | one | two | rested | fate      |
      | two with priority 0      | 4   | 0   | 249    | goes on   |
      | two with priority 0      | 4   | 0   | 250    | gives way |
      | two with priority 0      | 1   | 0   | 250    | gives way |
      | two with priority 0      | 2   | 2   | 250    | goes on   |
      | two with priority 1      | 3   | 1   | 250    | gives way |
      | two with priority 1      | 2   | 1   | 250    | goes on   |
      | two with priority 2      | 3   | 1   | 250    | gives way |
      | two with priority 1      | 1   | 0   | 1999   | goes on   |
      | two with priority 1      | 1   | 0   | 2000   | gives way |
      | one with priority 0      | 4   | 0   | 250    | gives way |
      | one with priority 1      | 4   | 0   | 1999   | goes on   |
      | one with priority 1      | 4   | 0   | 2000   | gives way |
      | the proxy with priority 0 | 1  | 3   | 250    | gives way |
