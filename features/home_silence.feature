Feature: A home proxy goes silent, and units that can't have taken effect there go elsewhere
  Dozens of proxies send to a home proxy that is cut off, stopped or without power. A unit that was sent may have
  arrived. A unit of which no byte was sent certainly did not run, and the first statement of a
  transaction has no lasting effect in any case, as its COMMIT was never sent.

  Scenario Outline: silence: the outcome of a unit on a link that <state> is <told>
    Given silence: a link to a home proxy that <state>
    When silence: a unit is sent over it, for 200 ms
    Then silence: its outcome is <told>
    And silence: <sent> units were sent

    Examples:
      | state                                | told     | sent |
      | answers                              | answered | 1    |
      | tells nothing                        | lost     | 1    |
      | closes once it has the unit          | lost     | 1    |
      | takes no more bytes                  | not sent | 0    |
      | takes no more bytes, and then closes | not sent | 0    |
      | was closed before                    | not sent | 0    |

  Scenario: silence: the first statement of a transaction goes to another home proxy
    Given statement homes: a session database, home proxies h1 in z2, h2 in z3
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement homes: links to all home proxies are open
    And statement homes: h1 freezes
    And statement path: the client asks "BEGIN" and is told "done T"
    And statement path: the client asks "WRITE x 2" and is told "done T"
    Then statement path: that took less than 600 ms
    When statement path: the client asks "COMMIT" and is told "done I"
    And statement path: another client asks "READ x" and is told "2 done I"

  Scenario: silence: home proxies in the zone of a silent one are tried last
    Given statement homes: a session database, home proxies h1 in z4 of r1, h2 in z4 of r1, h3 in z5 of r2
    When statement homes: links to all home proxies are open
    And statement homes: h1 freezes
    And statement homes: h2 freezes
    And silence: writes wait at h1 or h2 for 450 ms
    And statement path: the client asks "WRITE x 2" and is told "done I"
    Then statement path: that took less than 200 ms
    And statement homes: h3 took 1 statements

  Scenario Outline: silence: once one home proxy is silent, others are probed before a unit is sent, "<asked>"
    Given statement homes: a session database, home proxies h1 in z3 of r1, h2 in z4 of r1, h3 in z5 of r2
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement homes: links to all home proxies are open
    And statement homes: h1 freezes
    And statement homes: h2 freezes
    And silence: writes wait at h1 or h2 for 450 ms
    And statement path: the client asks "<asked>" and is told "<told>"
    Then statement path: that took less than 450 ms

    Examples:
      | asked     | told     |
      | WRITE x 2 | done I   |
      | READ x    | 1 done I |

  Scenario: silence: a read that got no answer goes to a home proxy that answers a probe
    Given statement homes: a session database, home proxies h1 in z3 of r1, h2 in z4 of r1, h3 in z5 of r2
    And statement path: statements have a timeout of 800 ms, a target of 400 ms and 2 attempts
    When statement path: the client asks "WRITE x 1" and is told "done I"
    And statement homes: links to all home proxies are open
    And statement homes: h1 freezes
    And statement homes: h2 freezes
    And statement path: the client asks "READ x" and is told "1 done I"
