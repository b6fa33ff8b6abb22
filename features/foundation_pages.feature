Feature: Pages of the project
  Links and examples in the pages must work.

  Scenario: Links lead to files
    Then pages: every relative link in README.md, CONTRIBUTING.md and docs leads to a file

  Scenario: The first declaration in README.md can be planned
    Then pages: the declaration in README.md is accepted

  Scenario: The architecture page lists the existing modules
    Then pages: docs/ARCHITECTURE.md names each module of the product once, and no other
