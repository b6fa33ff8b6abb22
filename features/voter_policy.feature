Feature: Automatic changes of the voters
  The leader adds, promotes and replaces controllers by their announcements and responses.

  Scenario Outline: voter policy: <why>
    Given voter policy: 5 voters are wanted, a voter silent for 3 s is replaced
    And voter policy: voters "<voters>", learners "<learners>", of which "<caught_up>" are caught up
    And voter policy: "<silent>" silent for 4 s
    When voter policy: "<waiting>" have announced themselves
    Then voter policy: the next change is to <change>

    Examples:
      | voters         | learners | caught_up | silent | waiting | change           | why                                                 |
      | a1 b1 c1       | -        | -         | -      | -       | do nothing       | no controller waits                                 |
      | a1 b1 c1       | -        | -         | -      | d1      | add d1           | one controller waits                                |
      | a1 b1 c1       | d1       | -         | -      | d1      | do nothing       | a learner that is behind                            |
      | a1 b1 c1       | d1       | d1        | -      | -       | promote d1       | too few voters                                      |
      | a1 b1 c1 d1 e1 | -        | -         | -      | f1      | add f1           | a standby                                           |
      | a1 b1 c1 d1 e1 | f1       | f1        | -      | -       | do nothing       | enough voters                                       |
      | a1 b1 c1 d1 e1 | f1       | f1        | c1     | -       | replace c1 by f1 | a voter is silent                                   |
      | a1 b1 c1 d1 e1 | f1       | -         | c1     | -       | do nothing       | the standby is behind                               |
      | a1 b1 c1 d1 e1 | -        | -         | c1     | c2      | add c2           | a disk was lost                                     |
      | a1 b1 c1 d1 e1 | c2       | c2        | -      | -       | replace c1 by c2 | its new incarnation has caught up                   |
      | a1 b1 c1 d1 e1 | c2 d2    | c2 d2     | c1 d1  | -       | replace c1 by c2 | two lost disks are replaced in turn                 |
      | a1 b1 c1 d1 e1 | f1 g1 h1 | -         | -      | i1      | do nothing       | no room for a further standby                       |
      | a1 b1 c1 d1 e1 | f1 g1 h1 | -         | -      | c2      | add c2           | a lost disk's new incarnation is added nevertheless |
