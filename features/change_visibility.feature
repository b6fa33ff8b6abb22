Feature: Logs and metrics show what became of a change of the configuration
  How many voters there were, which of them held a change when it was confirmed, and which proxy is behind.

  Scenario: change visibility: the leader tells when fewer voters respond than are wanted, and when enough do again
    Given change visibility: a leader that wants 5 voters
    When change visibility: its voters are "a b c"
    Then change visibility: it logs "too-few-voters wanted=5 configured=3 silent=none"
    And change visibility: the gauges show 3 configured, 3 responding, 5 wanted
    When change visibility: 2 s later its voters are "a b c d e"
    Then change visibility: it logs "enough-voters after_s=2"
    When change visibility: "d" has been silent for 4 s
    Then change visibility: it logs "too-few-voters wanted=5 configured=5 silent=d/d1"
    And change visibility: the gauges show 5 configured, 4 responding, 5 wanted
    When change visibility: it leads no more
    Then change visibility: the gauges show 0 configured, 0 responding, 0 wanted

  Scenario: change visibility: the leader logs each change of the members once
    Given change visibility: a leader that wants 3 voters
    When change visibility: its voters are "a b c"
    And change visibility: 1 s later its voters are "a b c"
    And change visibility: 1 s later its voters are "a b d"
    Then change visibility: the members logged are "a/a1,b/b1,c/c1" and "a/a1,b/b1,d/d1"

  Scenario: change visibility: a voter that lacks an entry does not count as holding it
    Given change visibility: a leader of five whose follower "b" lacks its last entry
    Then change visibility: all but "b" hold the last entry, and all hold the one before

  Scenario: change visibility: a proxy tells when its view stays behind the leader's, and when it has caught up
    Given change visibility: a proxy that has applied 10
    When change visibility: the leader is at 12
    And change visibility: 0.9 s later the leader is at 12
    Then change visibility: nothing is logged, and the view is 0.9 s behind
    When change visibility: 0.2 s later the leader is at 13
    And change visibility: 0.2 s later the leader is at 13
    Then change visibility: it logs once "view-behind applied=10 leader=13 for_s=1.1"
    When change visibility: 0.7 s later it has applied 13
    Then change visibility: it logs "view-caught-up applied=13 after_s=2"
    And change visibility: the view is 0 s behind
