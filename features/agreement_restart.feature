@fleet
Feature: Three real controllers restart at once

  Scenario: A restart of all controllers after 1,000 changes keeps the last revision
    Given agreement controllers: three of them
    When agreement controllers: 1000 changes are confirmed
    And agreement controllers: all are killed by SIGKILL and restarted, 3 times
    Then agreement controllers: each time they served revision 1000
    And agreement controllers: the median restart took less than 2 s
    And agreement controllers: the next change makes revision 1001
    When agreement controllers: 100 changes are confirmed
    And agreement controllers: a follower loses its data folder and starts again
    And agreement controllers: it is added as a learner
    And agreement controllers: its replacement is confirmed
    Then agreement controllers: there are 3 voters, its new identity among them
    And agreement controllers: it received a snapshot and has replicated the leader's whole log
