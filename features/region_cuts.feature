@fleet
Feature: Network partitions between zones, and loss of many processes
  Real proxies and controllers, connected through relays. A proxy cut off from the majority must not see a quorum or
  apply a change, and all proxies are current again soon after the partition heals or the processes restart.

  Scenario: regions: the leader's zone is cut off, then every zone from every other
    Given regions: a fleet of 6 proxies in 3 zones, each with a controller
    When regions: the zone of the leading controller is cut off
    Then regions: proxies outside it follow a leader, and those inside are without a quorum
    When regions: an operator outside confirms a change
    Then regions: the change is applied outside, and not inside for 4 s more
    When regions: the cuts are healed
    Then regions: every proxy follows a leader and has applied the change within 20 s
    When regions: every zone is cut off from every other
    Then regions: all proxies are without a quorum, and stay so for 4 s more
    When regions: the cuts are healed
    Then regions: every proxy follows a leader and has applied the change within 20 s

  Scenario: regions: proxies are current again after the loss of many processes
    Given regions: a fleet of 9 proxies in 3 zones, each with a controller
    When regions: 1 proxies are killed and start again while a change is confirmed
    Then regions: every proxy follows a leader and has applied the change within 20 s
    When regions: 9 proxies are killed and start again while a change is confirmed
    Then regions: every proxy follows a leader and has applied the change within 20 s
    When regions: the leading controller is killed while a change is confirmed
    Then regions: every proxy follows a leader and has applied the change within 20 s
    When regions: the members of a zone are killed while a change is confirmed
    Then regions: every proxy follows a leader and has applied the change within 20 s
    And regions: every group has a primary outside that zone within 20 s
