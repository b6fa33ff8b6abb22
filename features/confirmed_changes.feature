@fleet
Feature: A confirmed change survives the losses that the deployment bears
  Five real controllers, which bear the loss of two disks at once while every other process loses power.

  # A change was confirmed with three voters of five, because the others were late, and two lost disks took it away.
  Scenario Outline: confirmed changes: the first change is confirmed while two controllers <state>
    Given confirmed changes: five controllers, of which two <state>
    Then confirmed changes: a change is confirmed within 30 s
    And confirmed changes: it survives the loss of any two disks
    When confirmed changes: everything is killed and the two disks are lost that hurt most
    Then confirmed changes: it is read back within 12 s, and every proxy serves it

    Examples:
      | state                               |
      | start with the others               |
      | start 9 s late                      |
      | stand still for their first 9 s     |

  # Where the number of voters is never reached, a change was confirmed all the same after 6 s.
  Scenario: confirmed changes: a deployment that stays below its number of voters confirms nothing, and says so
    Given confirmed changes: five controllers, of which two start 12 s late
    Then confirmed changes: for 8 s each change is refused within 1 s, as "3 of 5 voters", with a time to come back
    And confirmed changes: the leader's log and gauge tell that 3 of 5 voters are configured
    And confirmed changes: a change is confirmed within 10 s
    And confirmed changes: it survives the loss of any two disks

  # A voter that was replaced while it was down was never taken in again, and one that was gone stayed a voter.
  Scenario: confirmed changes: a voter comes back after another controller took its place
    Given confirmed changes: five controllers, of which two start with the others
    Then confirmed changes: a change is confirmed within 30 s
    When confirmed changes: a follower is off for 5 s, and another is gone for good and has a successor
    Then confirmed changes: the five that run are the voters 4 s after it is back
    And confirmed changes: a change is confirmed within 6 s
    And confirmed changes: it survives the loss of any two disks
    When confirmed changes: everything is killed and the two disks are lost that hurt most
    Then confirmed changes: it is read back within 12 s, and every proxy serves it

  # A learner whose address was lost with the leader that added it waited for entries for good, and a voter that was gone stayed.
  Scenario: confirmed changes: a learner is taken in although the leader that added it ended with its address
    Given confirmed changes: two of three voters, and a learner whose address they do not know
    Then confirmed changes: the three that run are the voters within 6 s

  # A voter ignored candidates that its own log does not name, so that three of five voters elected nobody.
  Scenario: confirmed changes: a voter that missed two additions votes for a controller that it does not know
    Given confirmed changes: five voters, of which one missed that two were added, and two lost their disks
    Then confirmed changes: the confirmed version is read back within 12 s
    And confirmed changes: the five that run are the voters within 6 s
