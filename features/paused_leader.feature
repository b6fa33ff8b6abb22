Feature: A leader that is paused and replaced
  A paused controller keeps its links. Proxies that stay linked to it until the links count as silent learn nothing of
  its successor meanwhile: they refuse operations of tenants that are far below their limits, and reports on members
  reach nobody.

  Scenario: paused leader: a tenant below its limit has no operation refused while another leader takes over
    Given paused leader: a proxy linked to it, and a tenant that may run 12 a second
    When paused leader: 1 operations a second arrive for 3 s
    And paused leader: it is paused for 3000 ms, and another one leads 600 ms later
    And paused leader: 10 operations a second arrive for 2 s
    Then paused leader: no operation was refused
    And paused leader: the proxy was linked to the other one within 1100 ms of the pause

  Scenario: paused leader: a report on a member goes to the successor
    Given paused leader: a proxy linked to it, and a tenant that may run 12 a second
    When paused leader: it is paused for 3000 ms, and another one leads 300 ms later
    And paused leader: the proxy reports a member
    And paused leader: 1500 ms pass
    Then paused leader: the proxy was linked to the other one within 800 ms of the pause

  Scenario: paused leader: the answer to an earlier heartbeat is not taken for the answer to a report
    The answer is on its way as the leader is paused, and arrives after the report was sent.
    Given paused leader: a proxy linked to it, and a tenant that may run 12 a second
    And paused leader: its answers to heartbeats take 100 ms
    When paused leader: 200 ms pass
    And paused leader: it is paused for 3000 ms, and another one leads 300 ms later
    And paused leader: the proxy reports a member
    And paused leader: 1500 ms pass
    Then paused leader: the proxy was linked to the other one within 800 ms of the pause

  Scenario: paused leader: a leader that answers late and has no successor keeps its links
    Given paused leader: a proxy linked to it, and a tenant that may run 12 a second
    When paused leader: 1 operations a second arrive for 2 s
    And paused leader: it is paused for 900 ms, and no other one leads
    And paused leader: 10 operations a second arrive for 2 s
    Then paused leader: the proxy has kept its link
    And paused leader: no operation was refused

  Scenario: paused leader: a proxy that knows only this controller goes on while it looks for another
    Given paused leader: a proxy linked to the only controller, and a tenant that may run 12 a second
    When paused leader: 1 operations a second arrive for 2 s
    And paused leader: it is paused for 900 ms, and no other one leads
    And paused leader: 10 operations a second arrive for 2 s
    Then paused leader: the proxy has kept its link
    And paused leader: no operation was refused

  Scenario: paused leader: without a leader operations beyond the proxy's share are refused, after a second at once
    Given paused leader: a proxy linked to it, and a tenant that may run 12 a second
    When paused leader: 1 operations a second arrive for 2 s
    And paused leader: it is paused for 9000 ms, and no other one leads
    And paused leader: 30 operations a second arrive for 3 s
    Then paused leader: at least 20 operations were refused, those that arrived after 1500 ms within 50 ms

  Scenario: paused leader: the wait for a successor counts from the first request without an answer
    Each operation sends a request of its own. A wait that counts from the last of them is 0.3 s too long.
    Given paused leader: a proxy linked to it, and a tenant that may run 12 a second
    When paused leader: 1 operations a second arrive for 2 s
    And paused leader: it is paused for 9000 ms, and no other one leads
    And paused leader: 30 operations a second arrive for 3 s
    Then paused leader: at least 20 operations were refused, those that arrived after 1300 ms within 50 ms

  Scenario: paused leader: operations that wait for its answer run before later ones of the same urgency
    What the proxy's share covers went to operations that arrived after the missing answer was noticed.
    Given paused leader: a proxy linked to it, and a tenant that may run 12 a second
    When paused leader: 1 operations a second arrive for 2 s
    And paused leader: it is paused for 900 ms, and no other one leads
    And paused leader: 10 operations a second arrive for 1 s
    Then paused leader: no operation was refused
    And paused leader: no operation ran more than 20 ms before an earlier one

  Scenario Outline: paused leader: an operation waits for a successor, <case>
    Given paused leader: a leader last asked 0 ms ago has not answered
    When paused leader: <after> ms later an operation arrives that may wait <wait> ms, its tenant was <where> its limit
    Then paused leader: it is held for <held> ms

    Examples:
      | case                                  | after | wait | where  | held |
      | until its own time is over            | 100   | 400  | within | 400  |
      | until a successor is usually found    | 900   | 800  | within | 300  |
      | no more once that is overdue          | 1300  | 800  | within | 0    |
      | not above the limit of its tenant     | 100   | 400  | over   | 0    |
