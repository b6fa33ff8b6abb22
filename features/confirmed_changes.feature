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
