Feature: References in docs/PROOF.md

  Scenario: proof: every feature, scenario, mutant, checker and fault run named in docs/PROOF.md exists
    Then proof: its features and scenarios exist
    And proof: its mutants exist
    And proof: its checkers, traces and fault runs exist

  Scenario: proof: every checker, experiment and fault run is documented
    Then proof: docs/LAB.md names every checker
    And proof: docs/EXPERIMENTS.md names every experiment and fault run
