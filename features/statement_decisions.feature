Feature: Choice of the member for a read, and holding of statements without a primary
  Pure decisions, without clock or socket; times are milliseconds.

  Scenario Outline: decisions: a read goes to <best>: <why>
    Given decisions: the primary a in z1, replicas b in z2 and c in z3, the proxy in z2
    And decisions: <state>
    Then decisions: the order for a read is "<order>"

    Examples:
      | why                                    | state                                     | order | best |
      | the own zone is near                   | all answer in 20 ms                       | b a c | b    |
      | others must be faster by some          | b answers in 30 ms                        | b a c | b    |
      | others are faster by enough            | b answers in 60 ms                        | a c b | a    |
      | statements there queue                 | 5 statements of this proxy are at b       | a c b | a    |
      | requests for connections queue         | 5 requests wait for a connection to b     | a c b | a    |
      | an answer is awaited, as usual         | b has been silent for 30 ms               | b a c | b    |
      | it is silent for longer than usual     | b has been silent for 150 ms              | a c b | a    |
      | it answered something else meanwhile   | b has been silent for 150 ms, then answers | b a c | b   |
      | nothing is awaited                     | b has been silent for 150 ms, and is given up | b a c | b |
      | it can't be reached                    | b can't be reached                        | a c   | a    |
      | it lacks what must be seen             | b was found behind                        | a c   | a    |

  Scenario Outline: decisions: <member> seems to hang: <hangs>, <why>
    Given decisions: the primary a in z1, replicas b in z2 and c in z3, the proxy in z2
    And decisions: <member> answers in <usual> ms
    And decisions: <member> has been silent for <silent> ms
    Then decisions: <member> seems to hang: <hangs>

    Examples:
      | why                        | member | usual | silent | hangs |
      | answers take that long     | b      | 20    | 90     | no    |
      | longer than any answer     | b      | 20    | 110    | yes   |
      | a slow member's answer     | b      | 100   | 250    | no    |
      | several of a slow member's | b      | 100   | 310    | yes   |

  Scenario Outline: decisions: a member that opened connections in <opened> ms and answered in <answers> ms: <why>
    Given decisions: the primary a in z1, replicas b in z2 and c in z3, the proxy in z2
    And decisions: b opened connections in <opened> ms and answered in <answers> ms
    And decisions: b has been silent for <silent> ms
    Then decisions: its usual answer takes <usual> ms, and its longest healthy one <longest> ms
    And decisions: b seems to hang: <hangs>

    Examples:
      | why                                    | opened | answers        | usual | longest | silent | hangs |
      | nothing was seen: it may be far        | -      | -              | 20    | 260     | 250    | no    |
      | nothing was seen, for very long        | -      | -              | 20    | 260     | 290    | yes   |
      | far, no answer yet                     | 200    | -              | 100   | 340     | 390    | no    |
      | a first answer                         | 20     | 20             | 20    | 60      | 110    | yes   |
      | answers that hardly vary               | 20     | 20 20 20 20    | 20    | 37      | 90     | no    |
      | far, and steady                        | 200    | 120 120 120 120 | 120  | 221     | 390    | no    |
      | answers that vary                      | 20     | 20 200 20 200  | 79    | 375     | 370    | no    |
      | slower all of a sudden                 | 20     | 20 20 300      | 76    | 378     | 370    | no    |

  Scenario Outline: decisions: an answer given up after <waited> ms, of a member that answers in 100 ms
    Given decisions: the primary a in z1, replicas b in z2 and c in z3, the proxy in z2
    And decisions: b opened connections in 20 ms and answered in 100 100 100 ms
    And decisions: an answer of b was given up after <waited> ms
    Then decisions: its usual answer takes <usual> ms, and its longest healthy one <longest> ms

    Examples:
      | waited | usual | longest |
      | 40     | 100   | 213     |
      | 300    | 123   | 319     |

  Scenario: decisions: a new member is assumed to be as far away as known ones in its zone
    Given decisions: the primary a in z1, replicas b in z2 and c in z3, the proxy in z2
    And decisions: a opened connections in 200 ms and answered in 120 120 ms
    And decisions: b is new in the zone of a
    And decisions: b has been silent for 300 ms
    Then decisions: b seems to hang: no

  Scenario Outline: decisions: a statement without a primary is held until <until>: <why>
    Given decisions: recent changes of primary took <times> ms
    When decisions: statements found no primary at <noticed> ms
    Then decisions: at <now> ms a statement is held until <until> ms, and the primary is expected in <left> ms

    Examples:
      | why                                  | times          | noticed        | now  | until | left |
      | nothing is known of such changes     | -              | 0              | 0    | 3000  | 1500 |
      | the outage counts from its beginning | -              | 0 500 1000     | 1000 | 3000  | 500  |
      | longer than usual                    | -              | 0 900 1800 2700 | 2700 | 3000 | 0    |
      | an outage before is over             | -              | 0 2000         | 2000 | 5000  | 1500 |
      | quick changes were seen              | 800 800 800 800 | 0             | 0    | 1936  | 968  |
      | slow changes were seen               | 4000 4000      | 0              | 0    | 5550  | 2775 |
      | a pause is no measure                | 60000          | 0              | 0    | 5100  | 2550 |

  Scenario: decisions: no statement is held while the primary answers
    Given decisions: recent changes of primary took - ms
    When decisions: statements found no primary at 0 ms
    And decisions: the primary answers
    Then decisions: at 100 ms a statement is held until 100 ms, and the primary is expected in 0 ms
