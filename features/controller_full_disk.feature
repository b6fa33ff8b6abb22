Feature: A controller continues in its process after its disk refused writes for a while
  A controller used to exit with status 1 once its full disk accepted writes again after 3.6 s, and had to be restarted
  from outside ("event=storage-failed", "event=disk-works-again", "event=work-ended task=run"). The voter was missing
  for longer than its disk, and operators saw an unexpected exit. The controller must not simply continue either, as it
  is unknown what its disk holds: it reopens its log, as a new process does.

  Scenario Outline: full disk: the disk of <which> refuses writes for <seconds> s
    Given full disk: three controllers in one process, each on a disk of its own
    When full disk: 5 changes are acknowledged
    And full disk: the disk of <which> refuses writes for <seconds> s while changes continue
    Then full disk: no controller has exited
    And full disk: it participates again within 2 s
    When full disk: 5 changes are acknowledged
    Then full disk: all controllers hold every change that was acknowledged

    Examples:
      | which      | seconds |
      | the leader | 0.6     |
      | a follower | 0.6     |
      | the leader | 0       |

  Scenario: full disk: a single controller keeps no unsynced change
    Given full disk: a single controller
    When full disk: 3 changes are acknowledged
    And full disk: the disk of the leader refuses writes, and one change is proposed
    Then full disk: that change is answered with an unknown outcome, within 1 s
    When full disk: the disk of the leader accepts writes again
    Then full disk: it participates again within 3 s
    And full disk: it holds the 3 changes, and not the one that its disk refused

  Scenario: full disk: requests are answered at once while it reopens its log
    Given full disk: a single controller
    When full disk: 3 changes are acknowledged
    And full disk: the disk of the leader refuses writes, and one change is proposed
    Then full disk: a change that is proposed now is refused within 1 s
    When full disk: the disk of the leader accepts writes again, and reading takes 0.5 s
    Then full disk: a change that is proposed to the old replica is refused within 1 s
    And full disk: it participates again within 3 s

  Scenario: full disk: it still waits for the lease of a leader that it had confirmed
    Given full disk: three controllers whose disks may lose unsynced writes
    When full disk: 5 changes are acknowledged
    And full disk: the disk of a follower refuses writes for 0.2 s while changes continue
    And full disk: it participates again
    Then full disk: it knows the time of its last leader contact

  Scenario: full disk: a hanging write to the old log ends before the log is reopened
    Given full disk: a single controller
    When full disk: 3 changes are acknowledged
    And full disk: a sync of the leader's disk hangs, and saving the leader contact fails once
    Then full disk: its log is not reopened within 0.6 s
    When full disk: the sync continues
    Then full disk: it participates again within 3 s

  Scenario: full disk: an internal error still ends the process
    Given full disk: a single controller
    When full disk: an invariant of the agreement is violated
    Then full disk: the controller exits with 1 within 2 s
