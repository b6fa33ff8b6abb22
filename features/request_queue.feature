Feature: The queue of requests for one member under more load than it serves
  Each load is replayed with its arrivals, priorities and service times. The scenarios check the order
  of service, refusals on arrival, and the prompt refusal of requests that can no longer meet their deadline.

  Scenario: A burst of low priority is refused on arrival as far as it cannot be served
    Given queueing: a member with 4 slots, 14 ms a request and 12 ms a change of tenant
    And queueing: within 1000 ms 400 requests of priority 2 of 20 tenants arrive, with a deadline of 800 ms and a target of 2000 ms
    And queueing: within 1000 ms 60 requests of priority 0 of 20 tenants arrive, with a deadline of 800 ms and a target of 500 ms
    When queueing: the load is served
    Then queueing: 90 % of the refusals were on arrival
    And queueing: 95 % of the refusals were within 50 ms of that, or of the last arrival of a more urgent request
    And queueing: some of priority 2 were refused, and none of priority 0
    And queueing: requests of priority 0 waited 60 ms at most
    And queueing: at least 90 % of the admitted requests were served in time
    And queueing: no slot was idle while a request waited

  Scenario: The expected wait of an urgent request counts only the requests ahead of it
    Given queueing: a member with 4 slots, 14 ms a request and 0 ms a change of tenant
    And queueing: within 0 ms 200 requests of priority 2 of 20 tenants arrive, with a deadline of 5000 ms and a target of 2000 ms
    And queueing: within 0 ms 8 requests of priority 0 of 1 tenants arrive, with a deadline of 50 ms and a target of 50 ms
    When queueing: the load is served
    Then queueing: some of priority 0 were served, and waited 42 ms at most
    And queueing: none of priority 2 were refused

  Scenario Outline: Waiting requests are refused at once when <event>
    Given queueing: a member with 4 slots, 10 ms a request and 0 ms a change of tenant
    And queueing: within 10 ms 100 requests of priority 2 of 10 tenants arrive, with a deadline of 400 ms and a target of 2000 ms
    And queueing: at 50 ms <event>
    When queueing: the load is served
    Then queueing: some of priority 2 were refused at 50 ms, and none later than 70 ms
    And queueing: at least 95 % of the requests admitted and not refused later were served in time

    Examples:
      | event                                     |
      | 3 of the slots are lost                   |
      | 80 of priority 0 come                     |

  Scenario Outline: Behind few requests that are dequeued <how> a request is <outcome>
    Given queueing: a member with 1 slots, 290 ms a request and 0 ms a change of tenant
    And queueing: the relative variation of the time between two dequeues is <variation>
    When queueing: 1 request waits, and another one arrives with a deadline of 600 ms
    Then queueing: it is <outcome>

    Examples:
      | how                            | variation | outcome                   |
      | regularly                      | 0         | refused as no-turn-in-time |
      | at random                      | 0.75      | let in                    |

  Scenario Outline: A member that takes <real> ms where <usual> ms are usual is noticed after two turns
  Five requests wait at a member that has become slower. Their estimated cost follows slowly, and the last one was told
  that it can't be served in time when the one before it got its turn.
    Given queueing: one slot, <usual> ms a request as learned, and 5 requests that wait with 200 ms left
    When queueing: each turn takes <real> ms
    Then queueing: <refused> of them is refused, <when>

    Examples:
      | usual | real | refused | when         |
      | 32    | 32   | 0       | never        |
      | 32    | 39   | 0       | never        |
      | 32    | 44   | 1       | after 88 ms  |
      | 32    | 60   | 2       | after 120 ms |

  Scenario: An urgent request that arrives at a full queue displaces the least urgent one
    Given queueing: a member with 1 slots, 1 ms a request and 0 ms a change of tenant
    And queueing: 10 may wait
    When queueing: these requests arrive: 9 of one with priority 2, 1 of two with priority 2, 1 of one with priority 1
    Then queueing: the last of one with priority 2 is displaced
    When queueing: these requests arrive: 1 of three with priority 2
    Then queueing: the last of one with priority 2 is displaced
    When queueing: these requests arrive: 1 of one with priority 2
    Then queueing: it is refused as queue-full

  Scenario: Requests of a tenant that can meet their target precede late ones, by deadline
    Given queueing: a member with 1 slots, 10 ms a request and 0 ms a change of tenant
    When queueing: these requests wait: a late, due in 300 ms; b in time, due in 900 ms; c in time, due in 700 ms
    Then queueing: they are served in the order c b a
    And queueing: 2100 ms later in the order a c b

  Scenario: A request with a long deadline and a near target is not delayed by those with a short deadline
    Given queueing: a member with 2 slots, 20 ms a request and 0 ms a change of tenant
    And queueing: within 2000 ms 260 requests of priority 2 of tenant x arrive, with a deadline of 800 ms and a target of 1000 ms
    And queueing: within 2000 ms 30 requests of priority 2 of tenant x arrive, with a deadline of 2000 ms and a target of 1000 ms
    When queueing: the load is served
    Then queueing: of the requests with a deadline of 2000 ms at least 90 % were served within their target

  Scenario: A tenant with six times its usual load does not lengthen the waits of others
    Given queueing: a member with 4 slots, 10 ms a request and 0 ms a change of tenant
    And queueing: within 1000 ms 280 requests of priority 1 of 10 tenants arrive, with a deadline of 1500 ms and a target of 800 ms
    And queueing: within 1000 ms 280 requests of priority 1 of tenant flood arrive, with a deadline of 1500 ms and a target of 800 ms
    When queueing: the load is served
    Then queueing: requests of other tenants waited 80 ms at most

  Scenario Outline: No request precedes a more urgent one by more than its ageing, seed <seed>
    Given queueing: a member with 2 slots, 20 ms a request and 5 ms a change of tenant
    And queueing: 300 requests of random priorities, tenants and times arrive within 2000 ms, seed <seed>
    When queueing: the load is served
    Then queueing: no request was served before a waiting request that was more urgent after ageing
    And queueing: each request was served or refused once

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
