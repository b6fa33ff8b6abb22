@fleet
Feature: The soak finds broken promises, and the programs break none
  `make soak SEEDS=1-5 SECONDS=20` runs more seeds; docs/SOAK.md describes the soak.

  Scenario Outline: soak: a history in which <damage>
    Given soak: a sound history
    When soak: <damage>
    Then soak: the promise "<promise>" is broken

    Examples:
      | damage                                                                    | promise                                                |
      | a member ran a statement that no client sent                              | members run only what was asked                        |
      | a member ran a statement for another tenant                               | members run a statement for its tenant                 |
      | a tenant ran more than its limit within a window                          | a tenant keeps within its limit                        |
      | a write was committed twice                                               | a write takes effect once                              |
      | a refused write was committed                                             | what was refused is not kept                           |
      | an acknowledged write is in no member's log                               | what was acknowledged was committed                    |
      | an acknowledged write was rolled back where commits wait for a replica    | an acknowledged commit survives a change of primary    |
      | a session read a value older than its last acknowledged write             | a session sees its own work                            |
      | a new session missed a write acknowledged to its client 3 s earlier       | a session sees its own work                            |
      | a read of the primary missed a write acknowledged to its client 10 ms earlier | a session sees its own work                        |
      | a client was not served at the end                                        | service comes back                                     |
      | a stopping proxy ran a statement and did not answer                       | a statement that is taken is answered whole            |
      | a stopping proxy held a statement and did not answer                      | a statement that is taken is answered whole            |
      | a proxy that was told to stop exited after 8 s                            | a process that is told to stop ends with 0 in its time |
      | a proxy that was told to stop exited with 1                               | a process that is told to stop ends with 0 in its time |
      | SIGHUP ended a proxy that could handle it                                 | a process that is told to stop ends with 0 in its time |
      | SIGTERM ended a proxy that could handle it                                | a process that is told to stop ends with 0 in its time |
      | a tenant that asked for 10 in a second was told that its limit is used up | a tenant within its limit is not refused for it        |
      | 30 of 100 urgent statements and 20 of 100 others were refused             | urgent statements are turned away no more than others  |

  Scenario Outline: soak: a history in which <what> is no violation
    Given soak: a sound history
    When soak: <what>
    Then soak: no promise is broken

    Examples:
      | what                                                                      |
      | a killed proxy ran a statement and did not answer                         |
      | a statement reached a proxy as its connection ended                       |
      | SIGHUP ended a proxy that could not yet handle it                         |
      | a new session missed a write acknowledged to its client 1 s earlier       |
      | SIGTERM ended a proxy that could not yet handle it                        |
      | a tenant that asked for 90 in a second was told that its limit is used up |
      | 20 of 100 urgent statements and 30 of 100 others were refused             |

  Scenario Outline: soak: a process that <state> SIGHUP is known to handle it: <known>
    Then soak: a process that <state> SIGHUP is known to handle it: <known>

    Examples: SIGHUP can arrive before a process can handle it (seed 603: 40 ms after the start of a controller, before its first log line)
      | state        | known |
      | ignores      | yes   |
      | leaves alone | no    |

  Scenario: soak: a sound history breaks no promise
    Given soak: a sound history
    Then soak: no promise is broken

  Scenario: soak: the same seed draws the same faults
    Then soak: seed 7 draws the same faults twice, and seed 8 others
    And soak: seed 7 draws the same series of stops twice, and seed 8 others
    And soak: seed 7 draws the same waves twice, and seed 8 others
    And soak: seed 7 draws the same lateness twice, and seed 8 others

  Scenario: soak: real processes under the faults of a fixed seed
    When soak: seed 1 is played for 8 s
    Then soak: it broke no promise, and served 500 statements

  Scenario: soak: real processes that are stopped in series of a fixed seed, while they answer
    When soak: the stops of seed 2 are played for 10 s with 16 clients
    Then soak: it broke no promise, and served 500 statements

  Scenario: soak: real processes whose members restart with empty logs under their identities, by a fixed seed
    When soak: seed 3, whose members restart with empty logs, is played for 10 s
    Then soak: it broke no promise, and served 300 statements

  Scenario: soak: real processes under the faults and stops of a fixed seed at once
    When soak: the faults and stops of seed 4 are played for 10 s with 8 clients
    Then soak: it broke no promise, and served 100 statements

  Scenario: soak: real processes under waves of load and the faults of a fixed seed
    When soak: seed 1, with waves of load beside its faults, is played for 8 s
    Then soak: it broke no promise, and served 500 statements

  # The soak's members acknowledged no commit by a replica, so it could not show that a promotion loses one.
  Scenario: soak: real processes whose commits wait for a replica, by a fixed seed
    When soak: seed 5, whose commits wait for a replica, is played for 10 s
    Then soak: it broke no promise, and served 100 statements

  # The soak's members announced every change at once and its calls were carried out at once, so it could not show that a
  # member is taken for the primary before it leads.
  Scenario: soak: real processes whose announcements and calls are late, by a fixed seed
    When soak: seed 7, whose announcements and calls are late, is played for 12 s
    Then soak: it broke no promise, and served 300 statements
