@fleet
Feature: The operator's commands against real controllers
  An operator submits a declaration, reviews the plan and confirms it; controllers and proxies are real processes.

  Background:
    Given operators: three controllers and a proxy

  Scenario: operators: a confirmed plan takes effect, and the history names who confirmed it
    When operators: anna plans a declaration of 2 groups
    Then operators: the command exits with 0 and shows "nothing is in force yet"
    And operators: 0 revisions more are in force on the proxy
    When operators: bert confirms the plan
    Then operators: the command exits with 0 and shows "is in force at revision"
    And operators: 1 revisions more are in force on the proxy
    And operators: "status" shows "1 of 1 proxies linked, 0 behind"
    And operators: "history" shows "bert" and "add group g1"
    And operators: "declaration --output=text" shows "tenant t" and "group g2"

  Scenario: operators: each controller's status pages show its role and revision
    Then operators: one controller is ready as the leader, the others follow it
    And operators: all controllers show the same revision, and the leader 1 linked proxy

  Scenario: operators: two operators confirm plans on the same revision concurrently
    When operators: anna plans a declaration of 3 groups
    And operators: bert plans a declaration of 4 groups
    And operators: anna and bert confirm their plans concurrently
    Then operators: one exits with 0, the other with 1 and the winner's revision
    And operators: 1 revisions more are in force on the proxy

  Scenario: operators: an answer lost with the leader is repeated by the next leader
    When operators: anna plans a declaration of 5 groups
    And operators: anna confirms the plan under the request id "mine"
    And operators: the leader is killed
    And operators: anna confirms the plan under the request id "mine" at the other controllers
    Then operators: both answers are the same
    And operators: 1 revisions more are in force on the proxy

  Scenario: operators: a partitioned leader accepts no changes, answers no requests and keeps no proxies
    When operators: anna plans a declaration of 6 groups
    And operators: the other controllers freeze
    And operators: anna confirms the plan under the request id "cut" at the leader alone
    Then operators: the command exits with 3 and shows "LD4007"
    When operators: anna asks the leader alone for the status
    Then operators: the command exits with 1 and shows "LD4001"
    And operators: 0 revisions more are in force on the proxy
    And operators: the proxy has left the leader
    When operators: the other controllers resume
    And operators: anna confirms the plan under the request id "cut"
    Then operators: the command exits with 0 and shows "is in force at revision"
    And operators: 1 revisions more are in force on the proxy

  Scenario: operators: a drained proxy finishes its work and exits
    When operators: anna drains the proxy
    Then operators: the command exits with 0 and shows "finishes open work and exits"
    When operators: anna confirms the plan
    Then operators: the proxy exits with 0

  Scenario: operators: a controller that lost its disk rejoins under a new identity
    When operators: a follower loses its disk and restarts
    Then operators: the follower is shown as "replaced-disk"
    When operators: anna adds it as a learner, and replaces the old voter by it
    Then operators: the follower is shown as "voter"
    And operators: "history" shows "controllers: add" and "controllers: make learner"
