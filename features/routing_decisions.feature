Feature: Routing decisions
  The member that serves a unit is a pure function of the known state of the group.

  Background:
    Given routing: members a in z1 primary at 100, b in z2 at 100, c in z3 at 100, term 2

  Scenario Outline: <case>
    Given routing: a view in which <changes>
    When routing: a <access> that needs term <term> position <position> is routed from <zone>
    Then routing: it goes to <member> because <reason>

    Examples: by kind, zone and load
      | case                                  | changes                           | access | term | position | zone | member  | reason                     |
      | a write goes to the primary           | nothing differs                   | write  | 0    | 0        | z2   | a       | write-to-primary           |
      | a read stays in its zone              | nothing differs                   | read   | 0    | 0        | z3   | c       | caught-up-replica          |
      | a read never prefers the primary      | nothing differs                   | read   | 0    | 0        | z1   | b       | caught-up-replica          |
      | a saturated replica is avoided        | b has 4 of 4 slots taken          | read   | 0    | 0        | z2   | c       | caught-up-replica          |
      | an unreachable replica is left out    | b is unreachable                  | read   | 0    | 0        | z2   | c       | caught-up-replica          |
      | a leaving replica gets nothing new    | b is leaving                      | read   | 0    | 0        | z2   | c       | caught-up-replica          |
      | without replicas the primary reads    | b is unreachable; c is leaving    | read   | 0    | 0        | z2   | a       | no-replica-to-primary      |

    Examples: by position, which the primary reached 10 ms ago
      | case                                  | changes                           | access | term | position | zone | member  | reason                     |
      | the position is reached               | nothing differs                   | read   | 2    | 100      | z2   | b       | caught-up-replica          |
      | one replica is behind                 | b is 100 ms behind                | read   | 2    | 100      | z2   | c       | caught-up-replica          |
      | both are far behind                   | b is 100 ms behind; c is 100 ms behind | read | 2 | 100      | z2   | a       | replicas-behind-to-primary |
      | one will soon be there                | b is 15 ms behind; c is 100 ms behind | read | 2  | 100      | z2   | b       | replica-after-wait         |
      | the sooner one is waited for          | b is 25 ms behind; c is 15 ms behind | read | 2   | 100      | z2   | c       | replica-after-wait         |
      | a far primary allows a longer wait    | b is 31 ms behind; c is 100 ms behind; a is 5 ms away | read | 2  | 100 | z2 | b  | replica-after-wait         |
      | a slow answer makes no far primary    | b is 40 ms behind; c is 100 ms behind; a is 5 ms away; a is 50 ms away | read | 2 | 100 | z2 | a | replicas-behind-to-primary |
      | a short wait beats a far replica      | b is 15 ms behind; c is 40 ms away | read | 2    | 100      | z2   | b       | replica-after-wait         |
      | a near replica beats a long wait      | b is 25 ms behind; c is 2 ms away | read  | 2    | 100      | z2   | c       | caught-up-replica          |
      | the wait would be too long            | b is 31 ms behind; c is 100 ms behind | read | 2  | 100      | z2   | a       | replicas-behind-to-primary |
      | one is behind by less than 10 ms      | b is 9 ms behind; c is 100 ms behind | read | 2   | 100      | z2   | b       | caught-up-replica          |
      | one that caught up is asked again     | b is 100 ms behind since 4 s; c is 100 ms behind | read | 2 | 100 | z2  | b       | caught-up-replica          |
      | an older term never satisfies         | b is of term 1; c is of term 1    | read   | 2    | 50       | z2   | a       | replicas-behind-to-primary |
      | a member without a verified log serves nobody | b is of term 0; c is of term 0 | read | 0 | 0        | z2   | a       | replicas-behind-to-primary |
      | an unknown position is asked for      | b was never asked; c is 100 ms behind | read | 2  | 100      | z2   | b       | caught-up-replica          |

    Examples: while no primary is recorded
      | case                                  | changes                           | access | term | position | zone | member  | reason                     |
      | a write waits                         | no primary is recorded            | write  | 0    | 0        | z2   | nobody  | no-primary                 |
      | a read goes on                        | no primary is recorded            | read   | 2    | 100      | z2   | b       | caught-up-replica          |
      | a read that no replica can serve waits | no primary is recorded; b is 100 ms behind; c is 100 ms behind | read | 2 | 100 | z2 | nobody | no-primary              |

  Scenario Outline: A staleness bound becomes a position to reach: <case>
    Given routing: the primary was confirmed at <confirmed>
    When routing: the place not older than <since> is asked for
    Then routing: it is <place>

    Examples:
      | case                               | confirmed                        | since | place |
      | the oldest sample that is enough   | 1.0 with 10, 2.0 with 20, 3.0 with 30 | 1.5 | 2/20 |
      | a sample of just that moment       | 1.0 with 10, 2.0 with 20         | 1.0   | 2/10  |
      | nothing proves it                  | 1.0 with 10                      | 1.5   | none  |
      | a new term proves nothing of the old | 1.0 with 10, then term 3       | 0.5   | none  |

  Scenario Outline: What the answers of a replica tell about its lag: <case>
    Given routing: the primary reached position 10 at 1.0 s, 20 at 2.0 s and 30 at 3.0 s
    When routing: the replica answers <answers>
    Then routing: positions are missing there up to an age of <age> s at <now> s

    Examples:
      | case                                | answers                        | now | age  |
      | it was never asked                  | nothing                        | 3.5 | 0    |
      | it holds all                        | 30 at 3.5 s                    | 3.5 | 0    |
      | it lacks the last                   | 20 at 3.5 s                    | 3.5 | 0.5  |
      | it lacks more                       | 10 at 3.5 s                    | 3.5 | 1.5  |
      | it holds what it was thought to lack | 10 at 2.2 s; 30 at 3.1 s      | 3.1 | 0.1  |
      | it falls back                       | 30 at 3.1 s; 20 at 3.4 s       | 3.4 | 0.4  |
      | nothing new is heard for 1 s        | 20 at 3.5 s                    | 4.5 | 0.25 |
      | nothing was known so long ago       | 5 at 3.5 s                     | 3.5 | 2.5  |
