Feature: Health of a member as judged by one observer
  A dead or frozen member is detected quickly; a slow or saturated one is never called dead.
  Times are in milliseconds; probes are sent every 500 and time out after 600.

  Scenario Outline: <case>
    Given health: a member that answered at 0
    When health: <events>
    Then health: at <time> it is <health>

    Examples: gone
      | case                                | events                                            | time | health      |
      | one refusal is looked at again      | refused at 500                                    | 510  | reachable   |
      | two refusals 100 apart are enough   | refused at 500; refused at 600                    | 601  | unreachable |
      | two refusals at once are not        | refused at 500; refused at 501                    | 510  | reachable   |
      | one probe without answer is not     | probe at 500                                      | 1150 | reachable   |
      | two probes without answer are       | probe at 500; probe at 700                        | 1150 | unreachable |
      | not before the probe timeout        | probe at 500; probe at 700                        | 1050 | reachable   |
      | it is back with its first answer    | probe at 500; probe at 700; time 1150; answer at 1200 | 1210 | reachable |

    Examples: slow
      | case                                | events                                            | time | health      |
      | a slow answer ends the silence      | probe at 500; probe at 700; answer at 1050        | 1200 | reachable   |
      | answers of requests count           | probe at 500; probe at 700; answer at 900; probe at 1100 | 1350 | reachable |
      | no more connections taken           | overload at 500                                   | 600  | saturated   |
      | overload passes                     | overload at 500; answer at 3000                   | 3100 | reachable   |
      | the observer itself was stopped     | probe at 500; probe at 700; stopped until 3000    | 3010 | reachable   |

  Scenario Outline: Probes: <case>
    Given health: a member that answered at 0
    When health: <events>
    Then health: the next probe is due at <due>

    Examples:
      | case                              | events                       | due  |
      | all is well                       | nothing                      | 500  |
      | no answer yet                     | probe at 500                 | 700  |
      | requests had trouble              | disturbed at 120             | 120  |
      | refused                           | refused at 500               | 550  |
      | a replica is probed less often    | replica at 500               | 1500 |
      | one that was promoted as before   | replica at 500; primary at 1500 | 2000 |
      | a replica whose requests stall    | replica at 500; disturbed at 620 | 620 |
      | a replica that does not answer    | replica at 500; probe at 1500 | 1700 |

  # Gradually: when twice as many requests arrive as are served, the latency grows by 1 s per second.
  Scenario Outline: Saturation from <first> to <last> ms <how>, adaptive limit <limit>
    Given saturation: a member whose probes take <first> ms
    And saturation: the limit that follows the round trips is <limit>
    When saturation: its answers slow down to <last> ms <how>
    Then saturation: it was <verdict> while it answered
    When saturation: it falls silent
    Then saturation: it is called unreachable after <least> to <most> ms

    Examples:
      | first | last | how       | limit | verdict           | least | most |
      | 1     | 20   | at once   | on    | never called dead | 600   | 1200 |
      | 20    | 400  | at once   | on    | never called dead | 900   | 1900 |
      | 40    | 800  | gradually | on    | never called dead | 1300  | 2700 |
      | 100   | 2000 | gradually | on    | never called dead | 1000  | 3600 |
      | 40    | 800  | gradually | off   | called dead       | 0     | 1200 |

  Scenario Outline: The member to promote: <case>
    Given promotion: members a, b, c and <preferred> preferred
    When promotion: the answers are <answers>
    Then promotion: <chosen> is chosen

    Examples:
      | case                                     | preferred | answers                        | chosen |
      | the most advanced of a majority          | none      | b 2/90, c 2/100                | c      |
      | a higher term beats a longer log         | none      | b 3/10, c 2/100                | b      |
      | the preferred one among equals           | b         | b 2/100, c 2/100               | b      |
      | preference doesn't beat a longer log     | b         | b 2/90, c 2/100                | c      |
      | one promise is no majority               | b         | b 2/100, a refused, c refused  | nobody |
      | a stranger's promise counts for nothing  | none      | b 2/100, x 2/100               | nobody |
      | the chosen one failed, no majority left  | none      | b 2/90, c 2/100, c failed      | nobody |
      | the chosen one failed, a majority left   | none      | a 2/80, b 2/90, c 2/100, c failed | b   |

  Scenario Outline: The member that a planned switchover promotes: <case>
    Given promotion: a planned move to b in a group of <size> with a as its primary
    When promotion: the answers are <answers>
    Then promotion: <chosen> is chosen

    Examples:
      | case                                        | size | answers                           | chosen |
      | the target, though the old primary has more | 3    | a 2/110, b 2/100, c 2/100         | b      |
      | the target holds what a majority holds      | 3    | a 2/110, b 2/100, c 2/90          | b      |
      | the target lacks what a majority may hold   | 3    | a 2/110, b 2/90, c 2/100          | a      |
      | two promises, the old primary's and its own | 3    | a 2/110, b 2/100                  | a      |
      | the target alone is no majority             | 3    | b 2/100, a refused, c refused     | nobody |
      | a higher term counts more than length       | 3    | a 3/20, b 2/100, c 3/10           | a      |
      | three of five stand behind the target       | 5    | a 2/110, b 2/100, c 2/90, d 2/80  | b      |
      | two of five do not                          | 5    | a 2/110, b 2/100, c 2/105, d 2/80 | a      |
