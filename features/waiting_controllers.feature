@fleet
Feature: Controllers that are not members forward calls to the leader
  Three controllers are voters, three are learners, and any number wait to replace one of them. A waiting controller
  keeps one link, so that the messages per controller do not grow with the number of controllers.

  Scenario: waiting controllers: nine controllers wait, also through the loss of a voter
    Given platform: all processes started empty
    And waiting controllers: 12 more controllers started
    Then platform: a configuration with the database "db1" is acknowledged within 8 s
    And waiting controllers: each reads the configuration within 5 s
    And waiting controllers: each accepts a member's announcement
    And waiting controllers: 3 of them are learners, and the others keep at most 1 link each
    When platform: the first controller is killed
    Then waiting controllers: each reads the configuration within 8 s
