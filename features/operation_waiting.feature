Feature: Calls over a tenant's limit wait for tokens, the most urgent first
  Tenants exceed their limits for fractions of a second, while each call may take longer than that. A proxy and
  the leader decide at once which calls wait and which are refused with a retry time.

  Scenario: waiting for tokens: a few operations over the limit are served in time
    Given waiting for tokens: 3 proxies, and a tenant of 20 a second and 20
    When waiting for tokens: 28 operations of priority 0 arrive at once, each may wait 450 ms
    And waiting for tokens: 1 s pass
    Then waiting for tokens: 28 ran, each within 450 ms
    And waiting for tokens: in 5 s at most 41 ran

  Scenario: waiting for tokens: an operation whose token would be late is refused on arrival with a retry time
    Given waiting for tokens: 3 proxies, and a tenant of 20 a second and 20
    When waiting for tokens: 120 operations of priority 0 arrive at once, each may wait 450 ms
    And waiting for tokens: 1 s pass
    Then waiting for tokens: 29 ran, each within 450 ms
    And waiting for tokens: the others were refused within 0 ms of their arrival
    And waiting for tokens: at most 5 retry times of refused operations are within the same 200 ms, until 5 s from now

  Scenario: waiting for tokens: urgent operations take the tokens that others wait for at their proxy
    Given waiting for tokens: 1 proxies, and a tenant of 20 a second and 20
    When waiting for tokens: 40 operations of priority 2 arrive at once, each may wait 1500 ms
    And waiting for tokens: 4 operations of priority 0 arrive at once, each may wait 450 ms
    And waiting for tokens: 2 s pass
    Then waiting for tokens: all 4 of priority 0 ran, each within 450 ms
    And waiting for tokens: of priority 2 36 ran, and 4 were displaced and refused at once

  Scenario: waiting for tokens: a client that disconnects frees its place and its token
    Given waiting for tokens: 1 proxies, and a tenant of 20 a second and 20
    When waiting for tokens: 24 operations of priority 0 arrive at once, each may wait 450 ms
    And waiting for tokens: the client of the first waiting operation leaves
    And waiting for tokens: 0.16 s pass
    Then waiting for tokens: 23 ran, each within 160 ms

  Scenario: waiting for tokens: the number of waiting operations is bounded
    Given waiting for tokens: 1 proxies, and a tenant of 100 a second and 1
    When waiting for tokens: 400 operations of priority 0 arrive at once, each may wait 1500 ms
    Then waiting for tokens: at most 64 wait

  Scenario: waiting for tokens: a client over its limit whose calls may take a second is served
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And operation limits: tenant one may run 5 a second and 5, and a leader grants operations
    And waiting for tokens: calls should be done within 1000 ms
    When operation limits: a client with k1 writes 9 times
    Then operation limits: 9 to 9 are done, and the others are refused as not run with a retry time
    And operation limits: each answer came within 400 ms
    And waiting for tokens: 3 to 4 were counted as having waited, with a log line each

  Scenario: waiting for tokens: the leader dies while operations wait for tokens
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And operation limits: tenant one may run 5 a second and 5, and a leader grants operations
    And waiting for tokens: calls should be done within 1000 ms
    When waiting for tokens: 8 clients with k1 write at once, and 50 ms later the leader dies
    Then operation limits: 8 to 8 are done, and the others are refused as not run with a retry time

  Scenario: waiting for tokens: without a leader calls wait for their proxy's share and get distinct retry times
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And operation limits: tenant one may run 10 a second and 10, and a leader grants operations
    And waiting for tokens: calls should be done within 1000 ms
    When operation limits: a client with k1 writes 14 times
    And operation limits: the leader answers nothing
    And waiting for tokens: 20 clients with k1 write at once
    Then operation limits: 6 to 14 are done, and the others are refused as not run with a retry time
    And waiting for tokens: no two refused calls get the same retry time

  Scenario: waiting for tokens: a call that its proxy can't serve before it stops is refused at once
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And operation limits: tenant one may run 2 a second and 1, and a leader grants operations
    And waiting for tokens: calls should be done within 1000 ms
    When waiting for tokens: the proxy is told to stop within 300 ms
    And operation limits: a client with k1 writes 2 times
    Then operation limits: 1 to 1 are done, and the others are refused as not run with a retry time
    And operation limits: each refusal came within 100 ms

  Scenario: waiting for tokens: the token of an abandoned waiting call passes to the next one
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And operation limits: tenant one may run 2 a second and 1, and a leader grants operations
    And waiting for tokens: calls should be done within 2000 ms
    When waiting for tokens: 3 operations wait at the proxy and the first is abandoned
    Then waiting for tokens: the two others run within 1200 ms

  Scenario Outline: waiting for tokens: a tenant at nearly five times its limit has its urgent calls served, <proxies> proxies
    Given waiting for tokens: <proxies> proxies, and a tenant of 20 a second and 20
    When waiting for tokens: calls arrive for 2 s
      | priority | a second | may wait ms |
      | 0        | 2.1      | 400         |
      | 1        | 3.7      | 640         |
      | 2        | 9.9      | 1600        |
    And waiting for tokens: calls arrive for 5 s
      | priority | a second | may wait ms |
      | 0        | 12.5     | 400         |
      | 1        | 22       | 640         |
      | 2        | 59       | 1600        |
    Then waiting for tokens: of priority 0 at least 97 % ran
    And waiting for tokens: in 5 s at most 120 ran
    And waiting for tokens: at least 112 ran
    And waiting for tokens: of priority 2 at least 5 ran

    Examples:
      | proxies |
      | 1       |
      | 3       |
      | 12      |

  Scenario: waiting for tokens: urgent calls beyond the limit leave a minimum to the others
    Given waiting for tokens: 3 proxies, and a tenant of 20 a second and 20
    When waiting for tokens: calls arrive for 5 s
      | priority | a second | may wait ms |
      | 0        | 60       | 400         |
      | 2        | 20       | 1600        |
    Then waiting for tokens: of priority 2 at least 5 ran
    And waiting for tokens: in 5 s at most 120 ran

  Scenario: waiting for tokens: nothing is reserved for a tenant whose calls have equal priority
    Given waiting for tokens: 3 proxies, and a tenant of 20 a second and 20
    When waiting for tokens: calls arrive for 5 s
      | priority | a second | may wait ms |
      | 2        | 60       | 400         |
    Then waiting for tokens: in 5 s at most 120 ran
    And waiting for tokens: at least 119 ran

  Scenario Outline: waiting for tokens: a tenant that reserves <percent> % of its burst for urgent calls
    Given waiting for tokens: 3 proxies, and a tenant of 20 a second and 20
    And waiting for tokens: <percent> % of the burst are reserved for urgent calls
    When waiting for tokens: 30 operations of priority 1 arrive at once, each may wait 0 ms
    And waiting for tokens: 30 operations of priority 0 arrive at once, each may wait 0 ms
    Then waiting for tokens: of priority 1 <others> ran
    And waiting for tokens: of priority 0 <urgent> ran

    Examples:
      | percent | others | urgent |
      | 0       | 20     | 0      |
      | 25      | 15     | 5      |
      | 100     | 1      | 19     |

  Scenario: waiting for tokens: a proxy of an earlier version sends no priorities and is served as before
    Given waiting for tokens: 3 proxies, and a tenant of 20 a second and 20
    When waiting for tokens: a proxy requests 30 operations without priorities
    Then waiting for tokens: it is granted 20, with a retry time of 500 ms for the rest

  Scenario Outline: waiting for tokens: a PostgreSQL tenant that declares a wait of <wait> ms
    Given operation limits: a PostgreSQL proxy whose tenant may run 5 a second and 2
    And waiting for tokens: its operations may wait for <wait> ms
    When operation limits: units w w w are run
    Then operation limits: they end <ends>

    Examples:
      | wait | ends             |
      | 0    | done done LD3017 |
      | 400  | done done done   |

  Scenario: waiting for tokens: a plan shows the share reserved for urgent calls and the allowed wait
    When waiting for tokens: a tenant's declaration changes to 25 % reserved and a wait of 300 ms
    Then waiting for tokens: its plan shows "operation_urgent_percent 0 -> 25; operation_wait_ms 0 -> 300"

  Scenario: waiting for tokens: tokens withheld for proxies without contact do not lengthen retry times
    Given waiting for tokens: 3 proxies, and a tenant of 20 a second and 20
    When waiting for tokens: 2 of the proxies run half of the operations, and lose contact to the leader
    And waiting for tokens: 120 operations of priority 0 arrive at once, each may wait 0 ms
    Then waiting for tokens: all retry times are within 5 s, and half of them within 3 s
