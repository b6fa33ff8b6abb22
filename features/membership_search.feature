Feature: A controller that the leader does not contact finds it

  # The search waited for each controller that it had asked, also for one whose machine was gone.
  Scenario: membership search: a controller that does not answer does not delay the search
    Given membership search: a controller that knows two others, of which one does not answer
    When membership search: it seeks the leader
    Then membership search: it has announced itself to the leader within 0.4 s

  Scenario: membership search: it stops as soon as the leader contacts it
    Given membership search: a controller that knows two others
    When membership search: it seeks the leader
    Then membership search: it has announced itself to the leader within 0.4 s
    When membership search: the leader contacts it
    Then membership search: it asks nobody any more

  Scenario: membership search: a controller that the leader contacts asks nobody
    Given membership search: a controller that knows two others
    When membership search: the leader contacts it
    Then membership search: it asks nobody any more
