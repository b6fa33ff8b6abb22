Feature: Connection leases
  The sum of what proxies may hold never exceeds a budget or a group's limit.

  Scenario: leases: in random histories the sums stay within budgets and limits
    Then leases: 150 random histories of leaders and holders stay within budgets and limits

  Scenario Outline: leases: without a safeguard some history exceeds a limit
    Then leases: without "<safeguard>" one of 240 random histories exceeds a limit

    Examples:
      | safeguard                                                   |
      | a revoked share is reused only after its return             |
      | a lease outlives its link                                   |
      | a lease counts from the heartbeat's sending                 |
      | a grant read after its lease has expired is not used        |
      | a new leader waits for all reports                          |
      | a name is reused only after its leases have expired         |
      | a silent holder keeps its share until its lease has expired |

  Scenario Outline: leases: a share is reissued only after its lease has expired by the slowest clock
    Then leases: a lease of <lease> s has expired by every clock within <percent> % when reissued

    Examples:
      | lease | percent |
      | 1     | 1       |
      | 5     | 1       |
      | 30    | 1       |
      | 300   | 1       |

  Scenario: leases: a margin for clock drift is needed
    Then leases: without a margin a lease of 30 s has not expired by every clock within 1 %

  Scenario Outline: leases: when a share is granted to another proxy
    Given leases: a group of 40 connections with a budget of 30 for t, at home on "a b"
    And leases: a and b hold their shares
    When leases: a is replaced as a home proxy by c
    And leases: <event> after <seconds> s
    Then leases: c holds <c> connections of t

    Examples:
      | event                                | seconds | c  |
      | nothing happens                      | 1       | 0  |
      | a returns all                        | 1       | 15 |
      | a returns down to 5                  | 1       | 10 |
      | a falls silent                       | 4.9     | 0  |
      | a falls silent                       | 5.2     | 0  |
      | a falls silent                       | 5.5     | 15 |
      | a keeps sending heartbeats           | 30      | 0  |
      | a's link ends                        | 4.9     | 0  |
      | a's link ends                        | 5.5     | 15 |
      | a's process is proven to have ended  | 0.1     | 15 |
      | a reconnects with a new disk         | 4.9     | 0  |
      | a reconnects with a new disk         | 5.5     | 15 |
      | a leaves and reports that it is done | 0.1     | 15 |
      | an older process of a connects       | 4.9     | 0  |
      | an older process of a connects       | 5.5     | 15 |

  Scenario Outline: leases: which process may take over a name
    Then leases: over incarnation <known> on disk "<disk>", <hello> on disk "<its disk>" is <verdict>

    Examples:
      | known | disk | hello | its disk | verdict  |
      | 5     | d1   | 5     | d1       | admitted |
      | 5     | d1   | 6     | d1       | admitted |
      | 5     | d1   | 9     | d1       | admitted |
      | 5     | d1   | 4     | d1       | refused  |
      | 5     | d1   | 6     | d2       | refused  |
      | 5     | d1   | 5     | d2       | refused  |
      | 5     | d1   | 6     |          | refused  |
      | 5     |      | 6     |          | refused  |
      | 0     |      | 1     | d2       | admitted |

  Scenario Outline: leases: a new leader first waits for reports of held leases
    Given leases: a group of 40 connections with a budget of 30 for t, at home on "a b"
    And leases: a and b hold their shares
    When leases: another controller becomes the leader
    And leases: <seconds> s pass in which <reports> report
    Then leases: a, b and c hold "<held>" connections of t

    Examples:
      | reports | seconds | held    |
      | none    | 0.1     | 0 0 0   |
      | b       | 0.1     | 0 15 0  |
      | a b     | 0.1     | 15 15 0 |
      | c       | 0.1     | 0 0 0   |
      | b       | 5.5     | 0 15 0  |

  Scenario: leases: the grants at the end of an adoption are made in batches
    Given leases: a leader that adopts the leases of 1800 groups, and has the last proxy's report
    Then leases: it grants for at most 256 groups at once, and for all in 8 calls

  Scenario: leases: a raised budget waits for the returns of a lowered one
    Given leases: a group of 40 connections with a budget of 30 for t, at home on "a b"
    And leases: a and b hold their shares
    When leases: the budget of t becomes 5 and that of u 30
    Then leases: no more than 40 connections are leased
    When leases: all return connections above their shares
    Then leases: a and b hold 30 connections of u together
    And leases: no more than 40 connections are leased

  Scenario Outline: leases: when few connections are free each home proxy gets one
    Then leases: of a limit of <limit> with budgets of <t> for t and <u> for u, 3 homes get "<shares>"

    Examples:
      | limit | t | u | shares          |
      | 14    | 8 | 9 | t 3 3 2 u 3 2 1 |
      | 6     | 8 | 9 | t 1 1 1 u 1 1 1 |
      | 4     | 8 | 9 | t 1 1 1 u 1 0 0 |
      | 40    | 8 | 9 | t 3 3 2 u 3 3 3 |

  Scenario Outline: leases: a budget is shared equally, and the first home proxies get the remainder
    Then leases: a budget of <budget> over <homes> home proxies gives "<shares>"

    Examples:
      | budget | homes | shares   |
      | 30     | 3     | 10 10 10 |
      | 31     | 3     | 11 10 10 |
      | 2      | 3     | 1 1 0    |
      | 30     | 1     | 30       |
      | 7      | 2     | 4 3      |
