@fleet
Feature: The soak finds broken promises, and the programs break none
  `make soak SEEDS=1-5 SECONDS=20` runs more seeds; docs/SOAK.md says what it does.

  Scenario Outline: soak: a history in which <damage>
    Given soak: a sound history
    When soak: <damage>
    Then soak: the promise "<promise>" is broken

    Examples:
      | damage                                | promise                            |
      | a member ran what nobody asked        | members run only what was asked    |
      | a member ran a statement for another tenant | members run a statement for its tenant |
      | a tenant ran more than its limit within a window | a tenant keeps within its limit |
      | a write was committed twice           | a write takes effect once          |
      | a refused write was committed         | what was refused is not kept       |
      | an acknowledged write is nowhere      | what was acknowledged was committed |
      | a session read an older value         | a session sees its own work        |
      | a client was not served at the end    | service comes back                 |

  Scenario: soak: a sound history breaks no promise
    Given soak: a sound history
    Then soak: no promise is broken

  Scenario: soak: the same seed draws the same faults
    Then soak: seed 7 draws the same faults twice, and seed 8 others

  Scenario: soak: real processes under the faults of a fixed seed
    When soak: seed 1 is played for 8 s
    Then soak: it broke no promise, and served 500 statements
