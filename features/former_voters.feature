@fleet
Feature: A controller that was replaced while it was down is found again
  Operators manage the voters; the controllers are real processes.

  # Its own log said that it votes, so it announced itself to nobody, and no status showed it.
  Scenario: former voters: status shows a controller that was replaced while it was down as waiting
    Given former voters: three controllers, one of which is killed
    When former voters: an operator replaces it by a fourth one
    And former voters: it is started again with its folder
    Then former voters: status shows it as "waiting" within 8 s
    When former voters: the operator adds it
    Then former voters: status shows it as "learner" within 8 s
