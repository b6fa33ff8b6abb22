Feature: Controllers that keep their voters themselves, on virtual time
  Late starts, losses within the number to be borne, power lost everywhere, and two lost disks at the end. At each
  confirmation the disks are examined as a loss of power would leave them: for any further losses to be borne.

  Scenario Outline: voters simulation: a record in which <damage>
    Given voters simulation: a sound record
    When voters simulation: <damage>
    Then voters simulation: the promise "<promise>" is broken

    Examples:
      | damage                                                       | promise     |
      | a controller shows a version older than one confirmed before | read-back   |
      | a version is shown with two contents                         | one-content |
      | a declaration is shown whose every answer says did not run   | did-not-run |

  Scenario: voters simulation: a sound record breaks no promise
    Given voters simulation: a sound record
    Then voters simulation: no promise is broken

  Scenario Outline: voters simulation: seed <seed> breaks no promise
    Then voters simulation: seed <seed> breaks no promise, and 30 changes are confirmed

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: voters simulation: the same seed is played alike twice
    Then voters simulation: seed 5 is played alike twice
