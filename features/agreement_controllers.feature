@fleet
Feature: Three real controllers on loopback, with synced disks

  Scenario: A lost data folder is repaired, and a second machine is lost right after
    Given agreement controllers: three of them
    When agreement controllers: 20 changes are confirmed
    And agreement controllers: a follower loses its data folder and starts again
    Then agreement controllers: its status is replaced-disk, in addition to the voter of its name
    When agreement controllers: both others restart
    And agreement controllers: it is added as a learner
    And agreement controllers: its replacement is planned
    Then agreement controllers: the plan names it and changes nothing
    When agreement controllers: its replacement is confirmed
    Then agreement controllers: there are 3 voters, its new identity among them
    When agreement controllers: 1 change is confirmed
    And agreement controllers: the leader loses its data folder at once
    Then agreement controllers: the others serve revision 21
    And agreement controllers: the next change makes revision 22
    When agreement controllers: the lost leader starts again and is repaired too
    Then agreement controllers: there are 3 voters, its new identity among them
    And agreement controllers: the next change makes revision 23

  Scenario: A frozen leader serves no stale state after it resumes
    Given agreement controllers: three of them
    When agreement controllers: 5 changes are confirmed
    And agreement controllers: the leader is frozen while the others confirm 5 changes
    And agreement controllers: it resumes with a request waiting, and is queried for 1 s
    Then agreement controllers: it served no revision before 10

  Scenario: A leader whose disk is full steps down, and follows again when there is space
    Given agreement controllers: three of them
    When agreement controllers: 20 changes are confirmed
    And agreement controllers: the leader's disk has space for 100 more bytes
    And agreement controllers: 5 changes are confirmed
    Then agreement controllers: another controller leads, and the one with the full disk logs that it stopped
    And agreement controllers: the next change makes revision 26
    When agreement controllers: the one with the full disk has space again and restarts
    Then agreement controllers: it has replicated the leader's whole log
    When agreement controllers: its log is damaged and it restarts
    Then agreement controllers: it exits with status 1, naming the file and offset
    And agreement controllers: the next change makes revision 27

  Scenario: A controller whose disk was full resumes in the same process once there is space
    Given agreement controllers: three of them
    When agreement controllers: 20 changes are confirmed
    And agreement controllers: the leader's disk has space for 100 more bytes
    And agreement controllers: 5 changes are confirmed
    Then agreement controllers: another controller leads, and the one with the full disk logs that it stopped
    And agreement controllers: the one with the full disk keeps running for 1 s
    And agreement controllers: the next change makes revision 26
    When agreement controllers: the one with the full disk has space again
    Then agreement controllers: the one with the full disk reopens its log within 2 s, in the same process
    And agreement controllers: it has replicated the leader's whole log
    And agreement controllers: the next change makes revision 27
    And agreement controllers: the one with the full disk has not exited since
