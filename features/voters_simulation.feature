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

  Scenario: voters simulation: a declaration without an answer may be shown
    Given voters simulation: a sound record
    When voters simulation: a declaration is shown while it is being sent
    Then voters simulation: no promise is broken

  Scenario Outline: voters simulation: seed <seed> breaks no promise
    Then voters simulation: seed <seed> breaks no promise, and 30 changes are confirmed

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  # The next leader counted the silence of a voter that was gone from its own start, and replaced it later than a third
  # controller could be lost; three of five voters were gone then.
  Scenario Outline: voters simulation: three controllers are replaced in turn, the leader among them, seed <seed>
    Then voters simulation: seed <seed> with these faults breaks no promise
      | kind    | time   | target   |
      | replace | 14.5   | 4        |
      | replace | 16.7   | <leader> |
      | replace | 19.6   | 0        |

    Examples:
      | seed | leader |
      | 2    | 0      |
      | 3    | 0      |
      | 4    | 0      |

  Scenario: voters simulation: the same seed is played alike twice
    Then voters simulation: seed 5 is played alike twice
