Feature: The runner of the mutants
  Only a mutant that a check noticed, while it says nothing with the safeguard, counts as caught.

  Scenario Outline: mutants: a mutant that <case> counts as <verdict>
    When mutants: one that <case> is judged
    Then mutants: it counts as <verdict>, for the reason "<reason>"

    Examples:
      | case                       | verdict | reason                               |
      | is noticed                 | caught  |                                      |
      | is not noticed             | MISSED  |                                      |
      | is noticed with safeguard  | MISSED  | AssertionError: also with it         |

  Scenario: mutants: without any mutant the run fails
    When mutants: those of the area "no-such-area" are run
    Then mutants: the run ends with 1 and the line "mutants: 0 caught, 0 missed"

  Scenario: mutants: those of one area are run and counted
    When mutants: those of the area "lab" are listed
    Then mutants: each checker has one, and those that start fleets run alone

  Scenario: mutants: each safeguard of the agreement and of the durable log is missed without it
    When mutants: those of the area "agreement" are run
    Then mutants: the run ends with 0 and no mutant was missed

  Scenario: mutants: each safeguard of the tenants is missed without it
    When mutants: those of the area "tenants" are run
    Then mutants: the run ends with 0 and no mutant was missed

  Scenario: mutants: each safeguard of a planned stop is missed without it
    When mutants: those of the area "stop" are run
    Then mutants: the run ends with 0 and no mutant was missed
