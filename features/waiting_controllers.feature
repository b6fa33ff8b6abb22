@fleet
Feature: Controllers that are no members of their cluster pass calls on to its leader
  Three controllers vote, three learn, and any number waits to replace one of them. What waits keeps one
  link, so that messages per controller stay the same however many there are.

  Scenario: waiting controllers: nine beyond the learners, through the loss of a voter
    Given platform: all processes started empty
    And waiting controllers: 12 more controllers started
    Then platform: a configuration with the database "db1" is acknowledged within 8 s
    And waiting controllers: each reads the configuration within 5 s
    And waiting controllers: each takes a member's announcement
    And waiting controllers: 3 of them learn, and others keep at most 1 link each
    When platform: the first controller is killed
    Then waiting controllers: each reads the configuration within 8 s
