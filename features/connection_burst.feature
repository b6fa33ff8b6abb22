Feature: Connections to one member under a burst, and waiting requests during failures
  A pool with stand-in connections replays the load on a virtual clock. Requests that can't be served in time
  are refused at once, so that they may go elsewhere.

  Scenario: A burst of the lowest priority of many tenants
    Given burst: a lease of 4 connections, which open in 12 ms and answer in 14 ms
    When burst: within 1000 ms 400 requests of priority 2 of 76 tenants arrive, with 750 ms each
    Then burst: 95 % of the requests that were not served were refused within 50 ms
    And burst: at least 50 requests were served, and at least 50 were not

  Scenario: Urgent requests in a burst of less urgent ones
    Given burst: a lease of 4 connections, which open in 12 ms and answer in 14 ms
    When burst: within 500 ms 200 requests of priority 2 of 20 tenants arrive, with 750 ms each
    And burst: within 500 ms 10 requests of priority 0 of 5 tenants arrive, with 750 ms each
    Then burst: all requests of priority 0 were served, 95 % of them within 250 ms

  Scenario Outline: 100 requests wait, and <event>
    Given burst: a lease of 4 connections, which open in 2 ms and answer in 10 ms
    And burst: 100 requests of priority 1 of 1 tenants wait, with 600 ms each
    When burst: <event>
    Then burst: within 150 ms of it at least 20 were refused, and <left> or fewer of the 100 were left

    Examples:
      | event                       | left |
      | the member is lost          | 0    |
      | the lease shrinks to 1      | 60   |
      | the lease ends              | 0    |
      | the member leaves the group | 0    |
      | the member turns silent     | 4    |

  Scenario: A client that disconnects while it waits frees its place in the queue
    Given burst: a lease of 1 connections, which open in 2 ms and answer in 10 ms
    And burst: a request of tenant a has the connection, and one of a and one of b wait
    When burst: the waiting client of a disconnects
    Then burst: its request is no longer queued
    When burst: the connection is given back
    Then burst: the request of b has it
