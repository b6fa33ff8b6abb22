Feature: Request queue of a member
  Each member has a request queue: weighted fair between tenants, by priority with ageing.  A
  request is refused at once if it could not be served before its deadline.

  Scenario Outline: Order of the queue: <case>
    Given queue: tenants with weights <weights>
    And queue: these requests arrive: <arrivals>
    When queue: requests are served one by one from second <now>
    Then queue: the order is <order>

    Examples:
      | case                                   | weights  | arrivals                                  | now | order             |
      | one tenant is served in order          | x 1      | x1, x2, x3                                | 0   | x1 x2 x3          |
      | two tenants take turns                 | x 1, y 1 | x1, x2, x3, y1, y2, y3                    | 0   | x1 y1 x2 y2 x3 y3 |
      | a flood doesn't hold a tenant back     | x 1, y 1 | x1, x2, x3, x4, x5, x6, x7, y1            | 0   | x1 y1 x2 x3 x4 x5 x6 x7 |
      | twice the weight gets twice the turns  | x 2, y 1 | x1, x2, x3, x4, y1, y2                    | 0   | x1 y1 x2 x3 y2 x4 |
      | alerts go first                        | x 1, y 1 | x1 batch, y1, x2 alert                    | 0   | x2 y1 x1          |
      | ageing keeps batch from starving       | x 1, y 1 | x1 batch at 0, y1 at 2.5, y2 at 2.5       | 2.5 | x1 y1 y2          |

  Scenario: A tenant that used much slot time is served after one that used little
    Given queue: tenants with weights x 1, y 1
    And queue: a request of x has taken 2 seconds of a slot
    And queue: these requests arrive: x1, x2, y1, y2, y3
    When queue: requests are served one by one from second 0
    Then queue: the order is y1 y2 y3 x1 x2

  Scenario: A tenant without a free connection is skipped
    Given queue: tenants with weights x 1, y 1
    And queue: these requests arrive: x1, x2, y1
    When queue: requests are served while x has no connection
    Then queue: the order is y1

  Scenario: One very slow request delays its tenant by half a second at most
    Given queue: tenants with weights x 1, y 1
    And queue: a request of x has taken 60 seconds of a slot
    And queue: requests of y, which take 100 ms each, and one of x wait
    Then queue: x is served after 5 or 6 of y

  Scenario Outline: Limit of requests in flight for the slots: <case>
    Then queue: <slots> slots, <mean_ms> ms in total and <round_trip_ms> ms on the network allow <limit> in flight

    Examples:
      | case                        | slots | mean_ms | round_trip_ms | limit |
      | nothing is known            | 2     | 0       | 0             | 2     |
      | all time is at the member   | 2     | 20      | 1             | 2     |
      | the member is near          | 2     | 6       | 5             | 2     |
      | half of it on the network   | 2     | 20      | 15.5          | 4     |
      | nearly all on the network   | 2     | 40.5    | 44            | 16    |
      | less than the network needs | 1     | 30      | 40            | 8     |

  Scenario Outline: Admission: <case>
    Given queue: <waiting> requests wait, each takes <cost_ms> ms, on <slots> slots and <connections> connections
    When queue: another arrives, with <left_ms> ms to its deadline
    Then queue: it is <outcome>

    Examples:
      | case                              | waiting | cost_ms | slots | connections | left_ms | outcome                 |
      | room and time                     | 3       | 10      | 1     | 4           | 1000    | admitted                |
      | the queue is full                 | 32      | 1       | 1     | 4           | 1000    | refused, retry in 17 ms |
      | few connections, a small queue    | 16      | 1       | 1     | 1           | 1000    | refused, retry in 10 ms |
      | it would wait beyond its deadline | 10      | 100     | 1     | 4           | 1000    | refused, retry in 550 ms |
      | more slots shorten the wait       | 10      | 100     | 2     | 4           | 1000    | admitted                |

  Scenario Outline: pools: the reader of a member's history skips a last line that is half written, <text>
    Then pools: the history '<text>' has <count> entries

    Examples:
      | text                | count |
      | {"a": 1}\n{"a": 2}\n | 2    |
      | {"a": 1}\n{"a":     | 1     |
      | {"a":               | 0     |
