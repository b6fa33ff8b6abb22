@fleet
Feature: The configuration soak finds broken promises, and the programs break none
  `python -m features.soak.configuration.run 1-20` runs more seeds; docs/SOAK.md describes the soak.

  Scenario Outline: configuration soak: a history in which <damage>
    Given configuration soak: a sound history
    When configuration soak: <damage>
    Then configuration soak: only the promise "<promise>" is broken

    Examples:
      | damage                                                            | promise                                   |
      | a proxy serves a removed database 3.1 s after the confirmation    | a confirmed change is in force in time    |
      | a proxy does not know an added database 3.1 s after it            | a confirmed change is in force in time    |
      | an open session is served a removed database 3.1 s after it       | a confirmed change is in force in time    |
      | a proxy serves a removed database 20.1 s after it, while controllers are lost all the time | a confirmed change is in force in time |
      | a controller shows a version older than one confirmed before      | a read shows every change confirmed before |
      | a controller shows a document that nobody sent                    | a read shows every change confirmed before |
      | a controller shows other content under a confirmed version        | one version has one content               |
      | a proxy obeys other content under a confirmed version             | one version has one content               |
      | a proxy serves a removed database after it obeyed its successor   | a proxy does not go back within one life  |
      | an invalid change is confirmed                                    | nothing invalid is taken                  |
      | an invalid change is obeyed                                       | nothing invalid is taken                  |
      | an invalid change is read back                                    | nothing invalid is taken                  |
      | a confirmed change is sent again and refused                      | a valid change is not refused             |
      | a valid change is not confirmed in time                           | a change is acknowledged                  |

  Scenario Outline: configuration soak: a history in which <what> is no violation
    Given configuration soak: a sound history
    When configuration soak: <what>
    Then configuration soak: no promise is broken

    Examples:
      | what                                                                              |
      | a proxy serves a removed database 2.9 s after the confirmation                    |
      | a proxy that was paused 4 s before serves a removed database                      |
      | a proxy serves a removed database while a controller was killed 4 s before        |
      | a proxy serves a removed database 19.9 s after it, while controllers are lost all the time |
      | a proxy serves a removed database 25 s after it and 19 s after its own start, while controllers are lost all the time |
      | another life of a proxy serves a removed database after it obeyed its successor   |
      | a confirmed change is sent again and gets no answer                               |
      | a confirmed change is sent again and is to be sent later                          |
      | an older change is sent again and confirmed                                       |

  Scenario Outline: configuration soak: the disks of five controllers of which <disks>
    Given configuration soak: five controllers that all hold version 7, and <voters> voters
    When configuration soak: <disks>
    Then configuration soak: the loss of two disks is <judgement>

    Examples:
      | disks                                              | voters | judgement                                        |
      | all are voters                                     | 5      | borne                                            |
      | two hold version 6 only                            | 5      | borne                                            |
      | three hold version 6 only                          | 5      | fatal: a controller that holds version 6 can be elected |
      | three are voters                                   | 3      | fatal: none of 3 controllers can be elected      |
      | one is no voter in place of one that is gone       | 5      | fatal: none of 3 controllers can be elected      |
      | one takes the place of another in a pending change | 5      | borne                                            |

  # It was started twice, and the first process went on after the run.
  Scenario: configuration soak: a machine that is due while power is off is started once
    When configuration soak: a machine is due 0.1 s after a loss of power that lasts 0.2 s
    Then configuration soak: it was started 1 time

  Scenario: configuration soak: the same seed draws the same plan
    Then configuration soak: seed 7 draws the same plan twice, and seed 8 another

  Scenario: configuration soak: the proxies are spared
    Then configuration soak: seed 7 sparing the proxies draws losses of controllers only

  Scenario: configuration soak: changes are in force in time while controllers are lost
    When configuration soak: seed 5 is played for 24 s, sparing the proxies
    Then configuration soak: it broke no promise, and confirmed 50 changes

  Scenario: configuration soak: real processes by a fixed seed
    When configuration soak: seed 3 is played for 8 s
    Then configuration soak: it broke no promise, and confirmed 50 changes
    And configuration soak: 100 reads in open sessions were answered
