@fleet
Feature: Nothing is confirmed while fewer controllers vote than the losses to bear need

  Scenario Outline: voter requirement: <voters> voters<joint>, and <losses> lost disks to bear
    Given voter requirement: a controller with the voters "<voters>", replacing "<previous>"
    When voter requirement: <losses> lost disks are to be borne
    Then voter requirement: a change is <judgement>

    Examples:
      | voters    | previous  | losses | judgement            | joint                       |
      | a         | -         | 0      | confirmed            |                             |
      | a b       | -         | 1      | refused: 2 of 3      |                             |
      | a b c     | -         | 1      | confirmed            |                             |
      | a b c d   | -         | 2      | refused: 4 of 5      |                             |
      | a b c d e | -         | 2      | confirmed            |                             |
      | a b c d f | a b c d e | 2      | confirmed            | midway in a replacement     |
      | a b c d e | a b c d   | 2      | refused: 4 of 5      | midway in a replacement     |

  # A plan was confirmed whatever the number of voters.
  Scenario: voter requirement: an operator's plan is refused with three of five voters
    Given voter requirement: three controllers that are to bear two lost disks
    When voter requirement: an operator plans a declaration and confirms it
    Then voter requirement: the command exits with 1 and shows "LD4011" and "3 of 5 voters"
    And voter requirement: no revision is in force
