Feature: The mutation test runner
  A mutant counts as caught only if a check fails with it and passes with the safeguard in place.

  Scenario Outline: mutants: a mutant that <case> counts as <verdict>
    When mutants: a mutant that <case> is judged
    Then mutants: it counts as <verdict> with the reason "<reason>"

    Examples:
      | case                       | verdict | reason                               |
      | is noticed                 | caught  |                                      |
      | is not noticed             | MISSED  |                                      |
      | is noticed with safeguard  | MISSED  | AssertionError: also with it         |

  Scenario: mutants: without any mutant the run fails
    When mutants: the mutants of the area "no-such-area" are run
    Then mutants: the run ends with 1 and the line "mutants: 0 caught, 0 missed"

  Scenario: mutants: the mutants of one area are listed
    When mutants: the mutants of the area "lab" are listed
    Then mutants: each checker has one, and mutants that start fleets run alone

  Scenario: mutants: every agreement and durable log mutant is caught
    When mutants: the mutants of the area "agreement" are run
    Then mutants: the run ends with 0 and no mutant was missed

  Scenario: mutants: every tenant mutant is caught
    When mutants: the mutants of the area "tenants" are run
    Then mutants: the run ends with 0 and no mutant was missed

  Scenario: mutants: every planned stop mutant is caught
    When mutants: the mutants of the area "stop" are run
    Then mutants: the run ends with 0 and no mutant was missed

  Scenario: mutants: every mutant of promotions where commits wait for replicas is caught
    When mutants: the mutants of the area "positions" are run
    Then mutants: the run ends with 0 and no mutant was missed

  Scenario: mutants: every mutant of what counts as a claim to lead is caught
    When mutants: the mutants of the area "claims" are run
    Then mutants: the run ends with 0 and no mutant was missed

  Scenario: mutants: every mutant of what a confirmed declaration rests on is caught
    When mutants: the mutants of the area "voters" are run
    Then mutants: the run ends with 0 and no mutant was missed
