Feature: The controllers' agreement

  An accepted proposal is never lost or changed, and reads return current state. A controller that is
  cut off, behind or without its disk accepts no proposals, serves no reads and grants no votes that
  could lose an accepted proposal.

  Scenario: Random faults, also two at once or in succession, violate no invariant
    When agreement: seeds 1 to 100 run under random faults
    Then agreement: no invariant is violated
    And agreement: at least 5000 proposals were accepted and 10000 reads served

  Scenario: With five controllers, two disks and the power of all machines are lost, also after repairs
    When agreement: seeds 1 to 60 run with 5 controllers
    Then agreement: no invariant is violated
    And agreement: at least 3000 proposals were accepted and 6000 reads served

  Scenario: Runs with the same seed are identical
    Then agreement: seeds 1 to 3 run twice give the same digests

  Scenario Outline: <script>: passes with the safeguard, fails without
    Then agreement: the script "<script>" passes
    And agreement: it fails with the mutant that <mutant>

    Examples:
      | script                                             | mutant                                                     |
      | accepted, then power lost everywhere               | counts entries before they are synced                      |
      | accepted some time ago, then power lost everywhere | does not sync the disk                                     |
      | one of two holders loses its disk                  | comes back under the old name after a lost disk            |
      | an old incarnation asks for votes                  | takes any incarnation of a member's name for the member    |
      | one that is behind stands for election             | votes for a candidate whose log is behind                  |
      | an entry of an old term reaches a majority         | commits entries of old terms by counting                   |
      | late answers, then cut off                         | counts the lease from the receipt of the answers           |
      | a blind follower stands for election               | gives votes while it hears a leader                        |
      | the only confirming voter restarts                 | gives votes right after a restart                          |
      | the only confirming voter restarts                 | notes only its first contact with a leader                 |
      | all processes restart at once                      | forgets at a restart when it heard a leader                |
      | all lose power at once                             | waits for the lease of a leader that asks for votes itself |
      | a former leader asks for votes                     | takes the first leader it vouched for as the last          |
      | a former leader asks a restarted voter             | notes only the first leader on disk                        |
      | a cut-off leader is read at                        | reads without the lease                                    |
      | a new leader is read at                            | reads before an entry of its own term is applied           |
      | slow leader, fast followers                        | does not allow for the drift of clocks                     |
      | a heartbeat of an old term arrives late            | echoes the round of an old term to its leader              |
      | cut off with a pending proposal                    | says did not run for what was pending                      |
      | cut off while handing over                         | leads on under its lease after handing over                |
      | two membership changes in a row                    | changes members while a change is uncommitted              |
      | a deaf learner is promoted                         | promotes learners that are not caught up                   |
      | a leader left with a learner                       | counts learners as voters                                  |
      | silently cut off                                   | never steps down without a quorum                          |
      | followers behind and beside a new leader           | never backs off                                            |
      | a full disk                                        | goes on after a failed write                               |
      | a failing sync                                     | goes on after a failed write                               |
      | a second machine lost right after a repair         | comes back under the old name after a lost disk            |
      | power and a disk lost after a repair               | never ends the joint phase of a replacement                |

  Scenario Outline: Script passes: <script>
    Then agreement: the script "<script>" passes

    Examples:
      | script                   |
      | two disks lost at once   |
      | a replacement far behind |

  Scenario Outline: After a restart, a voter waits for a lease that it may have confirmed: <why>
    Then agreement: with the last contact stored as <stored>, term <term> and the process started at 100, it is <bound>

    Examples:
      | why                                         | stored | term | bound          |
      | stored on its disk                          | 90     | 3    | bound from 90  |
      | not stored: no later than the process start | -      | 3    | bound from 100 |
      | it never acknowledged a leader              | -      | 0    | not bound      |

  Scenario Outline: Random faults alone catch the mutant that <mutant>
    Then agreement: seeds <seeds> pass, and fail with the mutant that <mutant>

    Examples:
      | seeds       | mutant                                            |
      | 22 58 131   | counts the lease from the receipt of the answers  |
      | 493 585 658 | takes the first leader it vouched for as the last |
      | 51 134      | leads on under its lease after handing over       |

  Scenario: Every mutant of the agreement is in the tables above
    Then agreement: every mutant is named in this feature

  Scenario Outline: Membership of voters a1 b1 c1, leader a1: <change> with learners <learners>
    Given agreement: voters a1 b1 c1, learners <learners> of which <caught_up> hold all entries
    When agreement: the leader a1 is asked to <change>
    Then agreement: the members are <members>

    Examples: learner first, then voter, one at a time
      | learners                   | caught_up | change           | members                           |
      | -                          | -         | add c2           | voters a1 b1 c1 learners c2       |
      | c2                         | -         | add c3           | voters a1 b1 c1 learners c3       |
      | d1                         | -         | add e1           | voters a1 b1 c1 learners d1 e1    |
      | d1 e1 f1 g1 h1 i1 j1 k1 l1 | -         | add m1           | refused                           |
      | -                          | -         | add b1           | refused                           |
      | c2                         | c2        | replace c1 by c2 | voters a1 b1 c2 previous a1 b1 c1 |
      | c2                         | -         | replace c1 by c2 | refused                           |
      | c2                         | c2        | promote c2       | refused                           |
      | c2                         | c2        | replace b1 by c2 | refused                           |
      | c2                         | c2        | replace a1 by c2 | refused                           |
      | c2                         | c2        | replace c9 by c2 | refused                           |
      | -                          | -         | promote c2       | refused                           |
      | d1                         | d1        | promote d1       | voters a1 b1 c1 d1                |
      | d1                         | d1        | replace b1 by d1 | voters a1 c1 d1 previous a1 b1 c1 |
      | d1                         | -         | remove d1        | voters a1 b1 c1                   |
      | -                          | -         | remove c1        | voters a1 b1                      |
      | -                          | -         | remove a1        | refused                           |
      | -                          | -         | remove c9        | refused                           |

  Scenario Outline: Founding by a with an empty folder: <answers>
    When agreement: a with an empty folder and founding voters a b c receives <answers>
    Then agreement: a does: <outcome>

    Examples:
      | answers                        | outcome         |
      | nothing                        | wait            |
      | b empty                        | wait            |
      | b empty, c empty               | found           |
      | b empty, c of a cluster        | join            |
      | b of a cluster                 | join            |
      | b empty, c naming other voters | report settings |
      | a leader's entries             | join            |
      | founded with it                | found           |
      | founded without it             | join            |

  Scenario: Only the controller with the lowest name founds
    When agreement: b with an empty folder and founding voters a b c receives a empty, c empty
    Then agreement: b does: wait
