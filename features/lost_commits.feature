@fleet
Feature: A member that is promoted holds every acknowledged commit
  Real controllers and proxies; the members of the group acknowledge a commit once a replica has received it.

  # A replica that lagged was promoted, because the reports on the members were old: acknowledged commits were lost.
  Scenario Outline: lost commits: a replica that lags is not promoted, <trouble>
    Given lost commits: a group whose members <know> how to stop receiving
    When lost commits: 20 writes are acknowledged while "b" receives nothing
    And lost commits: "c" restarts, so that the reports on it are newer than those on "b"
    And lost commits: "b" receives everything again
    And lost commits: 20 writes are acknowledged while "c" receives nothing
    And lost commits: <trouble>
    Then lost commits: "b" is promoted within 12 s, and lacks no acknowledged commit
    When lost commits: "c" receives everything again
    Then lost commits: 10 more writes are acknowledged within 10 s
    And lost commits: no replica is still held

    Examples:
      | know        | trouble                                                                                 |
      | know        | the primary crashes                                                                     |
      | do not know | the primary crashes                                                                     |
      | know        | the primary announces that it drains                                                    |
      | do not know | the primary announces that it drains                                                    |
      | know        | no proxy or controller reaches the primary any more                                     |
      | know        | the primary crashes while the proxies cannot reach "b" for 3 s                          |
      | know        | the primary crashes, and the controller that leads is killed once one is held           |
