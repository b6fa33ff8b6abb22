@fleet
Feature: Zones that lose each other, and many processes at once
  Real proxies and controllers on relays. No proxy without a majority may hear a quorum or take a
  change, and all are current again soon after the cut is healed or the processes are back.

  Scenario: regions: the leader's zone is cut off, then every zone from every other
    Given regions: a fleet of 6 proxies in 3 zones, each with a controller
    When regions: the zone of the leading controller is cut off
    Then regions: the proxies of the others follow a leader, and those inside hear no quorum
    When regions: an operator outside confirms a change
    Then regions: the change is in force outside, and inside it is not for 4 s more
    When regions: the cuts are healed
    Then regions: every proxy follows a leader and has the change in force within 20 s
    When regions: every zone is cut off from every other
    Then regions: no proxy hears a quorum, and none does for 4 s more
    When regions: the cuts are healed
    Then regions: every proxy follows a leader and has the change in force within 20 s

  Scenario: regions: proxies are current again after each loss of many
    Given regions: a fleet of 9 proxies in 3 zones, each with a controller
    When regions: 1 proxies are killed and start again while a change is confirmed
    Then regions: every proxy follows a leader and has the change in force within 20 s
    When regions: 9 proxies are killed and start again while a change is confirmed
    Then regions: every proxy follows a leader and has the change in force within 20 s
    When regions: the leading controller is killed while a change is confirmed
    Then regions: every proxy follows a leader and has the change in force within 20 s
    When regions: the members of a zone are killed while a change is confirmed
    Then regions: every proxy follows a leader and has the change in force within 20 s
    And regions: every group has a primary outside that zone within 20 s
