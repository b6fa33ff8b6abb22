Feature: Voters without an operator
  The leader adds, promotes and replaces controllers by what it hears of them.

  Scenario Outline: voter policy: <why>
    Given voter policy: 5 voters are wanted, a voter silent for 3 s is replaced
    And voter policy: voters "<voters>", learners "<learners>", of which "<caught_up>" hold all
    And voter policy: "<silent>" silent for 4 s
    When voter policy: "<waiting>" have announced themselves
    Then voter policy: the next change is to <change>

    Examples:
      | voters         | learners | caught_up | silent | waiting | change            | why                                        |
      | a1 b1 c1       | -        | -         | -      | -       | do nothing        | nobody waits                               |
      | a1 b1 c1       | -        | -         | -      | d1      | add d1            | one waits                                  |
      | a1 b1 c1       | d1       | -         | -      | d1      | do nothing        | a learner that is behind                   |
      | a1 b1 c1       | d1       | d1        | -      | -       | promote d1        | too few voters                             |
      | a1 b1 c1 d1 e1 | -        | -         | -      | f1      | add f1            | a standby                                  |
      | a1 b1 c1 d1 e1 | f1       | f1        | -      | -       | do nothing        | enough voters                              |
      | a1 b1 c1 d1 e1 | f1       | f1        | c1     | -       | replace c1 by f1  | a voter is gone                            |
      | a1 b1 c1 d1 e1 | f1       | -         | c1     | -       | do nothing        | the standby is behind                      |
      | a1 b1 c1 d1 e1 | -        | -         | c1     | c2      | add c2            | a disk was lost                            |
      | a1 b1 c1 d1 e1 | c2       | c2        | -      | -       | replace c1 by c2  | its new life has caught up                 |
      | a1 b1 c1 d1 e1 | c2 d2    | c2 d2     | c1 d1  | -       | replace c1 by c2  | two disks were lost: one after the other   |
      | a1 b1 c1 d1 e1 | f1 g1 h1 | -         | -      | i1      | do nothing        | no room for a further standby              |
      | a1 b1 c1 d1 e1 | f1 g1 h1 | -         | -      | c2      | add c2            | room for a lost disk all the same          |
