Feature: Concurrent requests of all home proxies at one member
  Loads are replayed with the decisions of all home proxies in one process: a member with 4 slots and a
  queue of 32, work of 12 ms, and a network of 1 ms each way. Its capacity is 333 requests a second.
  Requests that wait at a proxy time out after 500 ms.

  Scenario Outline: concurrency: 2.5 times the capacity of a member for 2 s: <why>
    Given concurrency: <proxies> home proxies with <limits>
    When concurrency: 833 requests a second arrive for 2 s, <spread>
    Then concurrency: the member refuses <shed> % of arrivals
    And concurrency: it serves at least <served> requests a second

    Examples:
      | why                                  | proxies | limits            | spread              | shed        | served |
      | leases alone exceed slots and queue  | 7       | leases of 7       | evenly              | at least 3  | 320    |
      | the limits keep it within            | 7       | limits that adapt | evenly              | at most 0.5 | 320    |
      | nine home proxies                    | 9       | limits that adapt | evenly              | at most 0.5 | 320    |
      | three home proxies                   | 3       | limits that adapt | evenly              | at most 0.5 | 320    |
      | all demand comes to one of them      | 7       | limits that adapt | all to one          | at most 0.5 | 300    |
      | it moves from one to another         | 7       | limits that adapt | to one, then another | at most 0.5 | 300   |

  Scenario: concurrency: a member that becomes 6.5 times slower has few requests in its queue
    Given concurrency: 7 home proxies with limits that adapt
    When concurrency: 300 requests a second arrive for 1 s, evenly
    And concurrency: the member takes 78 ms, and 300 requests a second arrive for 2 s, evenly
    Then concurrency: the member refuses at most 0.5 % of arrivals
    And concurrency: in the last second the usual answer took at most 350 ms, half of the time with a full queue

  Scenario: concurrency: a member that stays slow is used even if one proxy has all the demand
    Given concurrency: 7 home proxies with limits that adapt
    When concurrency: 200 requests a second arrive for 1 s, all to one
    And concurrency: the member takes 78 ms, and 60 requests a second arrive for 10 s, all to one
    Then concurrency: in the last second it serves at least 40 requests

  Scenario Outline: concurrency: work of varying duration uses the slots: <spread>
    Given concurrency: 7 home proxies with limits that adapt
    And concurrency: the member's times vary, from next to nothing to several times 12 ms
    When concurrency: 833 requests a second arrive for 4 s, <spread>
    Then concurrency: in the last second it serves at least <served> requests
    And concurrency: the member refuses at most 0.5 % of arrivals

    Examples:
      | spread     | served |
      | evenly     | 300    |
      | all to one | 200    |

  Scenario: concurrency: limits recover when the member is fast again
    Given concurrency: 7 home proxies with limits that adapt
    When concurrency: 300 requests a second arrive for 1 s, evenly
    And concurrency: the member takes 78 ms, and 300 requests a second arrive for 1 s, evenly
    And concurrency: the member takes 12 ms, and 833 requests a second arrive for 2 s, evenly
    Then concurrency: in the last second it serves at least 320 requests

  Scenario Outline: concurrency: a limit of 4 slots among <proxies> home proxies begins with <limit>
    Given concurrency: the limit of one of <proxies> home proxies
    Then concurrency: the limit is <limit>

    Examples:
      | proxies | limit |
      | 1       | 4     |
      | 3       | 4     |
      | 7       | 4     |
      | 9       | 4     |
      | 20      | 2     |

  Scenario Outline: concurrency: a limit falls from 4 to <limit>: <why>
    Given concurrency: the limit of one of 7 home proxies
    And concurrency: answers take 12 12 12 12 12 12 12 12 ms
    When concurrency: <events>
    Then concurrency: the limit is <limit>

    Examples:
      | why                              | events                             | limit |
      | answers turn work away           | the member turns 1 away            | 2     |
      | those under way together fall once | the member turns 4 away at once  | 2     |
      | it tells nothing                 | nothing comes for 400 ms           | 2     |
      | answers get far slower           | answers take 80 80 80 80 80 ms     | 2     |
      | slow answers alone leave a share | answers take 80 80 80 80 80 80 80 80 80 80 80 80 80 80 80 80 80 80 80 80 ms | 2 |
      | one slow answer says little      | answers take 30 12 12 ms           | 4     |
      | a second one for what came after | the member turns 3 away one by one | 1     |

  Scenario: concurrency: a distant member may have more requests under way per slot
    Given concurrency: the limit of one of 1 home proxies
    And concurrency: the round trip of the network takes 88 ms
    And concurrency: answers take 100 100 100 100 100 100 100 100 ms
    When concurrency: 300 answers take 100 ms while the limit is fully used
    Then concurrency: the limit is more than 20
